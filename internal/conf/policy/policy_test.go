package policy_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const reason = "reason = \"The power supply is replaced on Tuesday night.\"\n"

const centreOut = "document = \"exception\"\nid = \"x\"\neffect = \"centre_out\"\n" + reason + "scope.centre = \"north\"\n"

// Guards against an invalid document that is accepted, and against an error that
// does not state what is allowed.
func TestParseRejects(t *testing.T) {
	cases := map[string]struct {
		body string
		want string
	}{
		"not TOML":            {`document = `, `document "doc" is not valid TOML`},
		"unknown document":    {`document = "rules"`, `document = "rules" is not allowed, want one of defaults, exception`},
		"unknown key":         {"document = \"defaults\"\ntimeout = 5", `unknown key "timeout", want one of document, timeout_ms, route`},
		"unknown key, nested": {centreOut + "scope.color = \"x\"", `unknown key "scope.color"`},
		"bad number":          {"document = \"defaults\"\ntimeout_ms = -5", `timeout_ms = -5 is not allowed, want a number of milliseconds from 1 to 3600000`},
		"not a number":        {"document = \"defaults\"\ntimeout_ms = nan", `timeout_ms = NaN is not allowed`},
		"wrong type":          {"document = \"defaults\"\ntimeout_ms = \"1s\"", `timeout_ms = "1s" is not allowed`},
		"bad class":           {"document = \"defaults\"\n[[route]]\nname = \"a\"\nclass = \"slow\"", `route[0].class = "slow" is not allowed, want one of interactive, transfer, background`},
		"bad prefix":          {"document = \"defaults\"\n[[route]]\nname = \"a\"\nprefix = \"x\"", `route[0].prefix = "x" is not allowed`},
		"route twice":         {"document = \"defaults\"\n[[route]]\nname = \"a\"\n[[route]]\nname = \"a\"", `route[1].name = "a" is not allowed`},
		"setting of a server": {"document = \"defaults\"\nweight = 3", `"weight" sets up a single server, which is not possible: servers change`},
		"server in scope":     {centreOut + "scope.server = \"x\"", `"scope.server" sets up a single server`},
		"address in scope":    {strings.Replace(centreOut, "north", "10.0.0.7:80", 1), `"scope.centre = 10.0.0.7:80" sets up a single server`},
		"no reason":           {strings.Replace(centreOut, reason, "", 1), `reason = "" is not allowed, want a sentence`},
		"no sentence":         {strings.Replace(centreOut, reason, "reason = \"test\"\n", 1), `reason = "test" is not allowed`},
		"repeated word":       {strings.Replace(centreOut, reason, "reason = \"Aaaaaa aaaaaa aaaaaa aaaaaa.\"\n", 1), `is not allowed, want a sentence`},
		"no id":               {strings.Replace(centreOut, "id = \"x\"\n", "", 1), `id = (missing) is not allowed`},
		"no effect":           {strings.Replace(centreOut, "centre_out", "stop", 1), `effect = "stop" is not allowed, want one of centre_out, version_move`},
		"scope missing":       {strings.Replace(centreOut, "scope.centre = \"north\"", "", 1), `scope.centre = (missing) is not allowed, want the centre that centre_out is for`},
		"scope too narrow":    {centreOut + "scope.service = \"plan\"", `scope.service = "plan" is not allowed, want no service`},
		"end before start":    {"start = 2026-12-05T00:00:00Z\nend = 2026-12-04T00:00:00Z\n" + centreOut, `end = 2026-12-04T00:00:00Z is not allowed, want an instant after start`},
		"local time":          {"start = 2026-12-05T00:00:00\n" + centreOut, `want a date and time with offset`},
		"move without end":    {strings.ReplaceAll(centreOut, "centre_out", "version_move"), `move = (missing) is not allowed, want a table with finish_by`},
		"secret as hash":      {"document = \"token\"\nid = \"a\"\nteam = \"t\"\nroles = [\"read\"]\nhash = \"hunter2\"", `hash = "(hidden)" is not allowed`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := policy.Parse("doc", []byte(c.body))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
		})
	}
}

// Guards against an encoded document that parses to something else than the
// original, so that a shorthand command would publish a different change.
func TestEncodeIsReadBack(t *testing.T) {
	cases := map[string]string{
		"centre out": centreOut + "author = \"Ana\"\n",
		"move": "document = \"exception\"\nid = \"m\"\neffect = \"version_move\"\n" + reason +
			"start = 2026-12-05T00:00:00Z\n[scope]\nservice = \"plan\"\nversion = \"v2\"\n[move]\nfinish_by = 2026-12-05T01:00:00Z\ncap = 0.5\n",
		"route": "document = \"exception\"\nid = \"r\"\neffect = \"route\"\n" + reason +
			"scope = {service = \"plan\", route = \"save\"}\nroute = {class = \"interactive\", repeatable = false}\n",
		"cap": "document = \"exception\"\nid = \"c\"\neffect = \"route_cap\"\nslot_share = 0.25\n" + reason +
			"scope = {service = \"plan\", route = \"save\"}\n",
		"shed":       "document = \"exception\"\nid = \"s\"\neffect = \"shed_background\"\n" + reason,
		"team":       "document = \"team\"\nname = \"t\"\nservices = [\"plan\", \"*\"]\n",
		"withdrawal": "document = \"withdrawal\"\nof = \"exception\"\nid = \"x\"\n" + reason,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d, err := policy.Parse("doc", []byte(body))
			g.Expect(err).NotTo(HaveOccurred())
			b, err := policy.Encode(d)
			g.Expect(err).NotTo(HaveOccurred())
			decoded, err := policy.Parse("encoded", b)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded).To(Equal(d))
		})
	}
}

// Guards against an exception that is applied outside its scope or time.
func TestRouteAt(t *testing.T) {
	g := NewWithT(t)
	no := false
	c := policy.Config{
		Defaults: policy.Defaults{Timeout: 700, Routes: []policy.Route{{Name: "save", Prefix: "/save", Class: call.Transfer}}},
		Exceptions: []policy.Exception{
			{ID: "a", Effect: policy.EffectRoute, Scope: policy.Scope{Service: "plan", Route: "save"}, Start: 10, End: 20, Route: &policy.Route{Timeout: 50, Repeatable: &no}},
			{ID: "b", Effect: policy.EffectRouteCap, Scope: policy.Scope{Service: "plan", Route: "save"}, Route: &policy.Route{SlotShare: 0.5}},
			{ID: "c", Effect: policy.EffectShedBackground, Scope: policy.Scope{Centre: "north"}, Start: 10},
		},
	}
	r := c.RouteAt("plan", "GET", "/save/1", 15)
	g.Expect(r.Timeout).To(BeEquivalentTo(50))
	g.Expect(*r.Repeatable).To(BeFalse())
	g.Expect(r.Class).To(Equal(call.Transfer))
	g.Expect(r.Exceptions).To(Equal([]string{"a", "b"}))
	g.Expect(c.RouteAt("plan", "GET", "/save/1", 20).Exceptions).To(Equal([]string{"b"}))
	g.Expect(c.RouteAt("photo", "GET", "/save/1", 15).Exceptions).To(BeEmpty())
	g.Expect(c.Route("plan", "GET", "/save/1").Timeout).To(BeEquivalentTo(700))
	g.Expect(c.Route("plan", "GET", "/save/1").SlotShare).To(Equal(0.5))
	_, shed := c.ShedBackgroundException("plan", "north", 9)
	g.Expect(shed).To(BeFalse())
	_, shed = c.ShedBackgroundException("plan", "north", 10)
	g.Expect(shed).To(BeTrue())
	_, shed = c.ShedBackgroundException("plan", "south", 10)
	g.Expect(shed).To(BeFalse())
}
