package server_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
)

const (
	adminToken  = "bootstrap.root-secret"
	crewToken   = "ana.crew-secret"
	readerToken = "eva.reader-secret"
)

type fixture struct {
	handler   http.Handler
	logOutput bytes.Buffer
	logServer *logsrv.Server
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{logServer: logsrv.New()}
	srv := httptest.NewServer(x.logServer.Handler())
	t.Cleanup(srv.Close)
	f := follow.New(applog.NewClient(srv.URL), nil, func(o *follow.Options) { o.PollInterval = 10 * time.Millisecond })
	go func() { _ = f.Serve(t.Context()) }()
	NewWithT(t).Eventually(func() bool { return f.Health().Ready }).Should(BeTrue())
	c := clock.NewReal()
	authenticator := auth.New(f.Config, c, auth.HashSecret("root-secret"))
	x.handler = server.New(f, authenticator, c, server.WithChangeTimeout(300*time.Millisecond), server.WithLogger(zerolog.New(&x.logOutput))).Handler()
	g := NewWithT(t)
	token := "document = \"token\"\nid = %q\nteam = \"crew\"\nroles = [%s]\nhash = %q"
	g.Expect(x.send(adminToken, "POST", "/v1/teams", "document = \"team\"\nname = \"crew\"\nservices = [\"plan\"]", "").Code).To(Equal(200))
	g.Expect(x.send(adminToken, "POST", "/v1/tokens", fmt.Sprintf(token, "ana", `"read", "publish"`, auth.HashSecret("crew-secret")), "").Code).To(Equal(200))
	g.Expect(x.send(adminToken, "POST", "/v1/tokens", fmt.Sprintf(token, "eva", `"read"`, auth.HashSecret("reader-secret")), "").Code).To(Equal(200))
	return x
}

func (x *fixture) send(token, method, path, body, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set(server.IdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	x.handler.ServeHTTP(w, r)
	return w
}

// Guards against responses other than an empty 401 to requests without a valid
// token.
func TestOnly401WithoutToken(t *testing.T) {
	x := newFixture(t)
	cases := map[string]string{
		"none": "", "unknown": "bob.x", "wrong secret": "ana.x", "no secret": "ana.", "other's secret": "ana.reader-secret", "wrong bootstrap": "bootstrap.x",
	}
	for name, token := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, path := range []string{"/", "/v1/status", "/v1/none", "/debug/vars", "/v1/exceptions"} {
				w := x.send(token, "GET", path, "", "")
				g.Expect(w.Code).To(Equal(http.StatusUnauthorized))
				g.Expect(w.Body.Len()).To(BeZero())
			}
		})
	}
}

const routeDoc = "document = \"exception\"\nid = %q\neffect = \"route\"\nreason = \"Saving takes longer with the new plans.\"\n" +
	"scope = {service = %q, route = \"save\"}\nroute.timeout_ms = 3000"

// Guards against access beyond the roles and services of a token, and against
// errors that scripts cannot distinguish.
func TestRightsAndErrors(t *testing.T) {
	x := newFixture(t)
	out := `{"centre":"north","direction":"out","reason":"The power supply is replaced tonight."}`
	cases := map[string]struct {
		token, method, path, body string
		status                    int
		text                      string
	}{
		"own service":       {crewToken, "POST", "/v1/exceptions", fmt.Sprintf(routeDoc, "a", "plan"), 200, `"status":"accepted"`},
		"other service":     {crewToken, "POST", "/v1/exceptions", fmt.Sprintf(routeDoc, "b", "photo"), 403, `does not own service photo`},
		"fleet-wide":        {crewToken, "POST", "/v1/moves", out, 403, `does not own the whole fleet`},
		"defaults":          {crewToken, "PUT", "/v1/defaults", "document = \"defaults\"", 403, `"forbidden"`},
		"read only":         {readerToken, "POST", "/v1/exceptions", fmt.Sprintf(routeDoc, "c", "plan"), 403, `lacks the role publish`},
		"read":              {readerToken, "GET", "/v1/status", "", 200, `"everywhere":true`},
		"bad value":         {adminToken, "PUT", "/v1/defaults", "document = \"defaults\"\ntimeout_ms = 0", 422, `"key":"timeout_ms","value":"0"`},
		"server setting":    {adminToken, "PUT", "/v1/defaults", "document = \"defaults\"\nweight = 0", 422, `single server`},
		"wrong document":    {adminToken, "PUT", "/v1/defaults", "document = \"team\"\nname = \"x\"\nservices = [\"*\"]", 422, `"bad_document"`},
		"no reason":         {adminToken, "POST", "/v1/moves", `{"centre":"north","direction":"out"}`, 422, `"key":"reason"`},
		"unknown field":     {adminToken, "POST", "/v1/moves", `{"center":"north"}`, 400, `unknown field`},
		"unknown exception": {adminToken, "DELETE", "/v1/exceptions/zz", `{"reason":"It is no longer needed by us."}`, 422, `does not exist`},
		"unknown path":      {adminToken, "GET", "/v2/status", "", 404, `"not_found"`},
		"unknown change":    {adminToken, "GET", "/v1/changes/zz", "", 202, `"not_known_yet"`},
		"bad limit":         {adminToken, "GET", "/v1/history?limit=0", "", 400, `"allowed":"1 to 500"`},
		"no report":         {adminToken, "GET", "/v1/explain", "", 404, `does not serve reports`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := x.send(c.token, c.method, c.path, c.body, "")
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(w.Body.String()).To(ContainSubstring(c.text))
		})
	}
	g := NewWithT(t)
	g.Expect(x.send(adminToken, "GET", "/v1/teams", "", "").Body.String()).NotTo(ContainSubstring(auth.HashSecret("crew-secret")))
	g.Expect(x.send(adminToken, "GET", "/v1/history", "", "").Body.String()).To(ContainSubstring(`"by":"crew/ana"`))
	g.Expect(x.logOutput.String()).To(ContainSubstring("admin_request"))
	for _, secret := range []string{"root-secret", "crew-secret", "reader-secret"} {
		g.Expect(x.logOutput.String()).NotTo(ContainSubstring(secret))
		g.Expect(x.logOutput.String()).NotTo(ContainSubstring(auth.HashSecret(secret)))
	}
}

// Guards against a repeated request that publishes a second change, and against
// pages that repeat or omit items.
func TestIdempotencyAndPaging(t *testing.T) {
	g := NewWithT(t)
	x := newFixture(t)
	for i := range 5 {
		body := fmt.Sprintf(routeDoc, fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i))
		first := x.send(adminToken, "POST", "/v1/exceptions", body, fmt.Sprint(i))
		again := x.send(adminToken, "POST", "/v1/exceptions", body, fmt.Sprint(i))
		g.Expect(again.Code).To(Equal(200))
		g.Expect(again.Body.String()).To(Equal(first.Body.String()))
	}
	w := x.send(adminToken, "POST", "/v1/exceptions", fmt.Sprintf(routeDoc, "other", "s9"), "1")
	g.Expect(w.Code).To(Equal(http.StatusConflict))
	g.Expect(w.Body.String()).To(ContainSubstring("idempotency_key_reused"))
	g.Expect(x.send(adminToken, "GET", "/v1/exceptions?limit=2", "", "").Body.String()).To(And(ContainSubstring(`"e0"`), ContainSubstring(`"next":"e1"`)))
	last := x.send(adminToken, "GET", "/v1/exceptions?limit=3&after=e1", "", "").Body.String()
	g.Expect(last).To(And(ContainSubstring(`"e2"`), ContainSubstring(`"e4"`), Not(ContainSubstring(`"next"`))))

	x.logServer.SetFaults(logsrv.Faults{Down: true})
	w = x.send(adminToken, "POST", "/v1/exceptions", fmt.Sprintf(routeDoc, "late", "s7"), "late")
	g.Expect(w.Code).To(Equal(http.StatusAccepted))
	g.Expect(w.Body.String()).To(ContainSubstring(server.StatusOutcomeUnknown))
}
