package commands

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
)

// session runs commands against two daemons and records their output.
type session struct {
	t          *testing.T
	logServer  *logsrv.Server
	apiURLs    [2]string
	followers  [2]*follow.Follower
	transcript bytes.Buffer
	docsDir    string
}

func newSession(t *testing.T) *session {
	s := &session{t: t, logServer: logsrv.New(), docsDir: t.TempDir()}
	logHTTP := httptest.NewServer(s.logServer.Handler())
	t.Cleanup(logHTTP.Close)
	var peersUp atomic.Bool
	for i := range s.followers {
		peers := func() []follow.Peer {
			if !peersUp.Load() {
				return nil
			}
			return []follow.Peer{&follow.LocalPeer{Name: fmt.Sprintf("m%d", 1-i), Follower: s.followers[1-i]}}
		}
		logClient := applog.NewClient(logHTTP.URL, applog.WithTimeouts(200*time.Millisecond, 200*time.Millisecond))
		s.followers[i] = follow.New(logClient, peers, func(o *follow.Options) {
			o.Member, o.PollInterval, o.ExchangeInterval = fmt.Sprintf("m%d", i), 20*time.Millisecond, 20*time.Millisecond
		})
		authenticator := auth.New(s.followers[i].Config, clock.NewReal(), auth.HashSecret("secret"))
		api := httptest.NewServer(server.New(s.followers[i], authenticator, clock.NewReal(), server.WithChangeTimeout(500*time.Millisecond)).Handler())
		t.Cleanup(api.Close)
		s.apiURLs[i] = api.URL
	}
	peersUp.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, f := range s.followers {
		go func() { _ = f.Serve(ctx) }()
		NewWithT(t).Eventually(func() bool { return f.Health().Ready }, "5s", "5ms").Should(BeTrue())
	}
	t.Setenv("CRANBERRYTACK_TOKEN", "bootstrap.secret")
	return s
}

var varyingText = regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:]+Z|http://127[^ ":]*:\d+|127\.0\.0\.1:\d+|"last_read_ms_ago":[\d.]+`)

// run executes a command line against a daemon and appends its output and exit
// code to the transcript. Underscores in arguments stand for spaces.
func (s *session) run(daemon int, line string) {
	args := strings.Fields(line)
	for i := range args {
		args[i] = strings.ReplaceAll(strings.ReplaceAll(args[i], "_", " "), "DOCS", s.docsDir)
	}
	var out, errOut bytes.Buffer
	stdout, stderr = &out, &errOut
	defer func() { stdout, stderr = os.Stdout, os.Stderr }()
	code := Run(append(args, "--api", s.apiURLs[daemon]))
	text := strings.ReplaceAll(out.String()+errOut.String(), s.docsDir, "DOCS")
	fmt.Fprintf(&s.transcript, "daemon %d$ %s\n%sexit %d\n\n", daemon, line, varyingText.ReplaceAllString(text, "VARIES"), code)
}

func (s *session) writeDoc(name, body string) {
	NewWithT(s.t).Expect(os.WriteFile(filepath.Join(s.docsDir, name), []byte(body), 0o600)).To(Succeed())
}

// awaitRevision waits until both daemons have applied a revision and report it in
// force everywhere.
func (s *session) awaitRevision(revision int64) {
	for _, f := range s.followers {
		NewWithT(s.t).Eventually(func() int64 { return f.Config().Revision }, "5s", "5ms").Should(BeNumerically(">=", revision))
		NewWithT(s.t).Eventually(func() bool { return f.Coverage(s.t.Context(), revision).Complete() }, "5s", "5ms").Should(BeTrue())
	}
}

const moveOutNorth = "move out north --reason The_power_supply_is_replaced_tonight. --key "

// Guards against commands with misleading output or exit codes.
func TestSessions(t *testing.T) {
	sessions := map[string]func(s *session){
		"publish": func(s *session) {
			s.writeDoc("defaults.toml", "document = \"defaults\"\ntimeout_ms = 900\n")
			s.writeDoc("bad.toml", "document = \"defaults\"\ntimeout_ms = 0\n")
			s.run(0, "publish DOCS/defaults.toml --key k1")
			s.run(0, "publish DOCS/bad.toml")
			s.run(0, "publish DOCS/none.toml")
			s.awaitRevision(1)
			s.run(1, moveOutNorth+"k2")
			s.awaitRevision(2)
			s.run(0, "except list")
			s.run(0, "move back north --reason The_power_supply_works_again. --key k3")
			s.awaitRevision(3)
			s.run(1, "version plan v2 --reason The_new_planner_saves_faster. --finish-by 2030-01-01T00:00:00Z --key k4")
			s.awaitRevision(4)
			s.run(0, "version plan v3 --reason The_newer_planner_saves_faster. --finish-by 2030-01-01T00:00:00Z --key k5")
			s.awaitRevision(4)
			s.run(1, "status")
			s.run(1, "history --limit 3")
			s.run(1, "except list --output json")
			s.run(1, "move sideways north --reason No")
			s.run(1, "nonsense")
		},
		"race": func(s *session) {
			s.run(0, moveOutNorth+"k1 --base 0")
			s.awaitRevision(1)
			s.run(1, moveOutNorth+"k2 --base 0")
			s.run(1, moveOutNorth+"k3 --base 0 --output json")
			s.run(1, "move out south --reason The_power_supply_is_replaced_tonight. --key k4 --base 0")
		},
		"lost_acknowledgement": func(s *session) {
			s.logServer.SetFaults(logsrv.Faults{LoseAcks: -1})
			s.run(0, moveOutNorth+"k1")
			s.awaitRevision(1)
			s.run(1, moveOutNorth+"k1")
			s.run(1, "status --change a2f0")
		},
		"outage": func(s *session) {
			s.logServer.SetFaults(logsrv.Faults{Down: true})
			s.run(0, moveOutNorth+"k1")
			s.logServer.SetFaults(logsrv.Faults{})
			s.run(1, moveOutNorth+"k1")
			s.awaitRevision(1)
			NewWithT(s.t).Eventually(func() error { return s.followers[0].Health().ReadError }, "5s", "5ms").Should(Succeed())
			s.run(0, "status")
			s.logServer.Reset()
			NewWithT(s.t).Eventually(func() *follow.LogFault { return s.followers[0].Health().Fault }, "5s", "5ms").ShouldNot(BeNil())
			s.run(0, "status")
			s.run(0, "move out south --reason The_power_supply_is_replaced_tonight. --key k2")
		},
		"retention": func(s *session) {
			s.run(0, moveOutNorth+"k1")
			s.awaitRevision(1)
			s.run(0, "move out south --reason The_power_supply_is_replaced_tonight. --key k2")
			s.awaitRevision(2)
			s.logServer.SetFaults(logsrv.Faults{Retain: 1})
			s.run(1, moveOutNorth+"k1")
			s.run(1, "move back north --reason The_power_supply_works_again. --key k3")
			s.awaitRevision(3)
			s.run(0, "status")
		},
	}
	for name, runSession := range sessions {
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			runSession(s)
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, s.transcript.Bytes())
		})
	}
}
