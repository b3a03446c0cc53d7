// Guards against faults that SetFaults reports as set but the fake did not accept,
// so that a soak runs against healthy services. This happens if SetFaults uses a
// method that the fake does not serve and ignores the status of the response.

package deploy_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
	upstream "gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

func TestSetFaultsOfLog(t *testing.T) {
	cases := map[string]logsrv.Faults{
		"down":      {Down: true},
		"slow":      {SlowMS: 800},
		"lost acks": {LoseAcks: -1},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			srv := httptest.NewServer(logsrv.New().Handler())
			defer srv.Close()
			g.Expect(deploy.SetFaults(t.Context(), srv.Listener.Addr().String(), faults)).To(Succeed())
			resp, err := http.Get(srv.URL + "/faults")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			var inForce logsrv.Faults
			g.Expect(json.NewDecoder(resp.Body).Decode(&inForce)).To(Succeed())
			g.Expect(inForce).To(Equal(faults), "faults in force at the fake log")
		})
	}
}

// The fake upstream has no GET /faults, so the effect on a request is checked.
func TestSetFaultsOfUpstream(t *testing.T) {
	cases := map[string]struct {
		faults upstream.Faults
		want   int
	}{
		"healthy":   {want: http.StatusOK},
		"fail fast": {faults: upstream.Faults{FailRate: 1}, want: http.StatusInternalServerError},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			srv := httptest.NewServer(upstream.New(1).Handler())
			defer srv.Close()
			g.Expect(deploy.SetFaults(t.Context(), srv.Listener.Addr().String(), c.faults)).To(Succeed())
			resp, err := http.Get(srv.URL + "/schedule/1")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(Equal(c.want))
			_, err = io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

// Guards against a cut response of which the client receives nothing, because the
// half that was written is still buffered when the connection is closed.
func TestCutResponseOfUpstream(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(upstream.New(1).Handler())
	defer srv.Close()
	g.Expect(deploy.SetFaults(t.Context(), srv.Listener.Addr().String(), upstream.Faults{CutRate: 1})).To(Succeed())
	resp, err := http.Get(srv.URL + "/schedule/1")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}
