package route_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
)

func rule(name, prefix string) route.Rule {
	return route.Rule{
		Name: name, Prefix: prefix, Timeout: clock.Second, MaxAttempts: 2,
		Services: []route.WeightedService{{Service: "s", Weight: 1}},
	}
}

func table(rules ...route.Rule) *route.Table {
	return &route.Table{
		Version: 1, Hosts: map[string][]route.Rule{"h": rules}, Services: map[string]route.Service{"s": {Name: "s"}, "t": {Name: "t"}},
	}
}

// Guards against a request that is matched to a shorter prefix although a longer
// one fits.
func TestMatch(t *testing.T) {
	routes := table(rule("short", "/a/"), rule("long", "/a/b/"), rule("other", "/c/"))
	tests := map[string]struct {
		host, path, want string
	}{
		"short":        {"h", "/a/x", "short"},
		"long":         {"h", "/a/b/x", "long"},
		"prefix only":  {"h", "/a/b/", "long"},
		"no slash":     {"h", "/a/bc", "short"},
		"no route":     {"h", "/d/", ""},
		"unknown host": {"i", "/a/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, ok := routes.Match(tt.host, tt.path)
			g.Expect(ok).To(Equal(tt.want != ""))
			if ok {
				g.Expect(r.Name).To(Equal(tt.want))
			}
		})
	}
}

// Guards against a distribution of requests that differs from the weights.
func TestPickService(t *testing.T) {
	g := NewWithT(t)
	r := rule("r", "/")
	r.Services = []route.WeightedService{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}, {Service: "u", Weight: 0}}
	got := map[string]int{}
	for i := range uint64(1000) {
		got[r.PickService(i)]++
	}
	g.Expect(got).To(Equal(map[string]int{"s": 900, "t": 100}))
}

// Guards against an invalid configuration that passes validation.
func TestValidate(t *testing.T) {
	tests := map[string]struct {
		change func(t *route.Table)
		want   string
	}{
		"valid":           {func(*route.Table) {}, ""},
		"no version":      {func(t *route.Table) { t.Version = 0 }, "version 0 is not positive"},
		"bad prefix":      {func(t *route.Table) { t.Hosts["h"][0].Prefix = "/a" }, "does not begin and end with a slash"},
		"unknown service": {func(t *route.Table) { t.Hosts["h"][0].Services[0].Service = "x" }, `service "x" is not defined`},
		"negative weight": {func(t *route.Table) { t.Hosts["h"][0].Services[0].Weight = -1 }, "is negative"},
		"no weight":       {func(t *route.Table) { t.Hosts["h"][0].Services[0].Weight = 0 }, "no service with a positive weight"},
		"no timeout":      {func(t *route.Table) { t.Hosts["h"][0].Timeout = 0 }, "timeout of 0 ms"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			routes := table(rule("r", "/a/"))
			tt.change(routes)
			if tt.want == "" {
				g.Expect(routes.Validate()).To(Succeed())
			} else {
				g.Expect(routes.Validate()).To(MatchError(ContainSubstring(tt.want)))
			}
		})
	}
}
