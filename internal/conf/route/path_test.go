package route_test

import (
	"net/url"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
)

// Guards against an upload that runs twice: an escaped slash that is taken for a separator gives
// a request the route of another path, whose requests may be repeated.
func TestMatchPath(t *testing.T) {
	tests := map[string]struct{ sent, want string }{
		"plain":                        {"/scan/list/17", "/scan/list/17"},
		"escaped slash":                {"/scan/list%2F17", "/scan/list%2F17"},
		"escaped slash, lower case":    {"/scan/list%2f17", "/scan/list%2F17"},
		"escaped slash at the end":     {"/scan/list%2F", "/scan/list%2F"},
		"escaped slash at the start":   {"/%2Fscan/list", "/%2Fscan/list"},
		"escaped letter":               {"/%73can/list/17", "/scan/list/17"},
		"escaped letter and slash":     {"/%73can/list%2F17", "/scan/list%2F17"},
		"escaped twice":                {"/scan/list%252F17", "/scan/list%252F17"},
		"escaped percent, then slash":  {"/scan/a%25/list", "/scan/a%25/list"},
		"escaped text":                 {"/scan/d%C3%A9j%C3%A0/1", "/scan/déjà/1"},
		"empty segments":               {"/scan//list%2F/17", "/scan//list%2F/17"},
		"question mark is not a query": {"/scan/a%3Fb/1", "/scan/a?b/1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u, err := url.ParseRequestURI(tt.sent)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(route.MatchPath(u)).To(Equal(tt.want))
		})
	}
}
