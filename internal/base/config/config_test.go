package config_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
)

const valid = `
[node]
fleet = "f"
service = "svc"
centre = "c1"
[listen]
entry = "127.0.0.1:7000"
peer = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
upstream = "127.0.0.1:7003"
[log]
url = "http://127.0.0.1:7400"
`

// Guards against a daemon that starts with misspelt, invalid or inconsistent
// settings, and against a report that names only the first of several errors.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		old, new string
		// errors are substrings that the one returned error must contain.
		errors []string
	}{
		"valid":            {},
		"unknown key":      {`fleet = "f"`, "fleet = \"f\"\nflete = 1", []string{"unknown key node.flete"}},
		"upper case":       {`"svc"`, `"Svc"`, []string{`node.service is "Svc"`}},
		"host name":        {"127.0.0.1:7000", "localhost:7000", []string{"listen.entry"}},
		"unspecified IP":   {"127.0.0.1:7001", "0.0.0.0:7001", []string{"listen.peer"}},
		"port 0":           {"127.0.0.1:7001", "127.0.0.1:0", []string{"listen.peer"}},
		"log without host": {"http://127.0.0.1:7400", "http://", []string{"log.url"}},
		"several at once":  {"[log]", "[limits]\npeers = 0\nheader_bytes = 1\n[stop]\ntimeout_ms = 1\n[log]", []string{"limits.peers is 0", "limits.header_bytes", "stop.timeout_ms"}},
		"excess slots":     {`centre = "c1"`, "centre = \"c1\"\nslots = 300", []string{"node.connections"}},
		"level":            {"[log]", "[output]\nlevel = \"loud\"\n[log]", []string{"output.level"}},
		"invalid TOML":     {"[log]", "[log", []string{"settings.toml"}},
		"wrong type":       {"[log]", "[limits]\npeers = \"many\"\n[log]", []string{"settings.toml"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := config.Parse("settings.toml", strings.Replace(valid, tt.old, tt.new, 1))
			if tt.errors == nil {
				g.Expect(err).NotTo(HaveOccurred())
			}
			for _, substring := range tt.errors {
				g.Expect(err).To(MatchError(ContainSubstring(substring)))
			}
		})
	}
}
