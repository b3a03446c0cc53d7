package logsrv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
)

// Guards against a client that misclassifies a fault of the service: an append
// that took effect must never be reported as refused or unavailable.
func TestAppendErrors(t *testing.T) {
	cases := map[string]struct {
		faults logsrv.Faults
		want   error
		kept   int
	}{
		"healthy":         {kept: 2},
		"down":            {faults: logsrv.Faults{Down: true}, want: applog.ErrUnavailable, kept: 1},
		"slow":            {faults: logsrv.Faults{SlowMS: 500}, want: applog.ErrOutcomeUnknown, kept: 2},
		"lost ack":        {faults: logsrv.Faults{LoseAcks: 1}, want: applog.ErrOutcomeUnknown, kept: 2},
		"all acks lost":   {faults: logsrv.Faults{LoseAcks: -1}, want: applog.ErrOutcomeUnknown, kept: 2},
		"retention":       {faults: logsrv.Faults{Retain: 1}, kept: 1},
		"rate of appends": {faults: logsrv.Faults{AppendsPerSecond: 0.0001}, kept: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := logsrv.New()
			srv := httptest.NewServer(s.Handler())
			defer srv.Close()
			l := applog.NewClient(srv.URL, applog.WithTimeouts(100*time.Millisecond, 100*time.Millisecond))
			defer l.Close()
			_, err := l.Append(t.Context(), applog.Record{ID: "a", Kind: applog.KindChange})
			g.Expect(err).NotTo(HaveOccurred())
			s.SetFaults(c.faults)
			ack, err := l.AppendAck(t.Context(), applog.Record{ID: "b", Kind: applog.KindChange})
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(ack).To(Equal(applog.Ack{Offset: 2, Generation: "g1"}))
			} else {
				g.Expect(err).To(MatchError(c.want))
			}
			g.Expect(s.Entries()).To(HaveLen(c.kept))
			if c.faults.AppendsPerSecond > 0 {
				_, err = l.Append(t.Context(), applog.Record{ID: "c", Kind: applog.KindChange})
				var limited *applog.RateLimitError
				g.Expect(err).To(BeAssignableToTypeOf(limited))
				g.Expect(err).To(MatchError(applog.ErrUnavailable))
			}
		})
	}
}

// Guards against a client that reports an empty log when the service is
// unreachable, the read was cancelled or the records were dropped.
func TestReadErrors(t *testing.T) {
	g := NewWithT(t)
	s := logsrv.New()
	srv := httptest.NewServer(s.Handler())
	l := applog.NewClient(srv.URL)
	defer l.Close()
	for range 5 {
		_, err := l.Append(t.Context(), applog.Record{ID: "a", Kind: applog.KindChange})
		g.Expect(err).NotTo(HaveOccurred())
	}
	s.SetFaults(logsrv.Faults{Retain: 2})
	_, err := l.Read(t.Context(), 1, 10)
	g.Expect(err).To(Equal(&applog.GoneError{FromOffset: 1, FirstOffset: 4}))
	b, err := l.Read(t.Context(), 4, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.NextOffset).To(Equal(int64(6)))
	g.Expect(b.Entries).To(HaveLen(2))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = l.Read(ctx, 4, 10)
	g.Expect(err).To(MatchError(applog.ErrUnavailable))
	srv.Close()
	// On a reused connection the append may be sent before the client notices
	// that the connection is closed.
	_, err = l.Append(t.Context(), applog.Record{ID: "a", Kind: applog.KindChange})
	g.Expect(err).To(Or(MatchError(applog.ErrUnavailable), MatchError(applog.ErrOutcomeUnknown)))
	newClient := applog.NewClient(srv.URL)
	defer newClient.Close()
	_, err = newClient.Append(t.Context(), applog.Record{ID: "a", Kind: applog.KindChange})
	g.Expect(err).To(MatchError(applog.ErrUnavailable))
}

// Guards against fault settings that are lost or accepted with unknown keys when
// they are set over HTTP.
func TestFaultsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	s := logsrv.New()
	send := func(method, path, body string) int {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	g.Expect(send(http.MethodPost, "/v1/records", `{"id":"a","kind":"change"}`)).To(Equal(http.StatusOK))
	g.Expect(send(http.MethodPut, "/faults", `{"slow_ms":1,"retain":3}`)).To(Equal(http.StatusOK))
	g.Expect(s.Faults()).To(Equal(logsrv.Faults{SlowMS: 1, Retain: 3}))
	g.Expect(send(http.MethodPut, "/faults", `{"slow":1}`)).To(Equal(http.StatusBadRequest))
	g.Expect(send(http.MethodPost, "/faults/truncate?drop=1", "")).To(Equal(http.StatusOK))
	g.Expect(s.Entries()).To(BeEmpty())
	g.Expect(send(http.MethodPost, "/faults/restart", "")).To(Equal(http.StatusOK))
}
