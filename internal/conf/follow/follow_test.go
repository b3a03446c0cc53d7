package follow_test

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 5 * time.Second

// Guards against an accepted change that does not come into force on every
// daemon, and against one that fails or takes effect twice because the log is
// slow, limits appends or loses acknowledgements.
func TestPublishUnderFaults(t *testing.T) {
	cases := map[string]logsrv.Faults{
		"healthy":         {},
		"slow":            {SlowMS: 60},
		"one ack lost":    {LoseAcks: 1},
		"all acks lost":   {LoseAcks: -1},
		"rate of appends": {AppendsPerSecond: 2},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, 4).awaitReady()
			f.log.SetFaults(faults)
			o, err := publish(t, f.followers[0], newChange("a", "north", 0), testTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o.Status).To(Equal(fold.StatusAccepted))
			g.Eventually(func() bool {
				return f.followers[1].Coverage(t.Context(), o.Offset).Complete()
			}, testTimeout, "10ms").Should(BeTrue())
			repeated, err := publish(t, f.followers[2], newChange("a", "north", 0), testTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(repeated).To(Equal(o))
			_, err = publish(t, f.followers[2], newChange("a", "south", 0), testTimeout)
			g.Expect(err).To(Equal(&follow.IDReusedError{ID: "a"}))
			g.Expect(f.log.Entries()).To(HaveLen(1))
		})
	}
}

// Guards against conflicting concurrent changes that both take effect, and
// against a conflict that does not name the accepted change.
func TestRaceHasOneWinner(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 3).awaitReady()
	var wg sync.WaitGroup
	outcomes := make([]fold.Outcome, 3)
	for i, d := range f.followers {
		wg.Go(func() { outcomes[i], _ = publish(t, d, newChange(fmt.Sprintf("r%d", i), "north", 0), testTimeout) })
	}
	wg.Wait()
	winner := ""
	for _, o := range outcomes {
		if o.Status == fold.StatusAccepted {
			g.Expect(winner).To(BeEmpty())
			winner = o.ID
		}
	}
	g.Expect(winner).NotTo(BeEmpty())
	for _, o := range outcomes {
		if o.ID != winner {
			g.Expect(o.Status).To(Equal(fold.StatusConflict))
			g.Expect(o.Winner).To(Equal(winner))
		}
	}
}

// Guards against a change that is reported as failed or accepted during an outage
// of the log, and against one whose outcome can't be queried by its id afterwards.
func TestPublishDuringOutage(t *testing.T) {
	cases := map[string]struct {
		faults logsrv.Faults
		sent   bool
	}{
		"down":                 {logsrv.Faults{Down: true}, false},
		"slower than timeouts": {logsrv.Faults{SlowMS: 400}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, 2).awaitReady()
			f.log.SetFaults(c.faults)
			_, err := publish(t, f.followers[0], newChange("a", "north", 0), 400*time.Millisecond)
			var unknown *follow.OutcomeUnknownError
			g.Expect(errors.As(err, &unknown)).To(BeTrue())
			g.Expect(unknown.Sent).To(Equal(c.sent))
			g.Expect(f.followers[0].Config().Revision).To(BeZero())
			f.log.SetFaults(logsrv.Faults{})
			o, err := publish(t, f.followers[1], newChange("a", "north", 0), testTimeout)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o.Status).To(Equal(fold.StatusAccepted))
			found, err := f.followers[0].ResolveOutcome(t.Context(), "a")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(found).To(Equal(o))
			_, err = f.followers[0].ResolveOutcome(t.Context(), "b")
			g.Expect(err).To(BeAssignableToTypeOf(unknown))
		})
	}
}

// Guards against daemons that can't obtain the configuration from peers while
// they can't reach the log, both running ones and one that starts.
func TestFollowsPeersWithoutLog(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1)
	unreachable := "http://127.0.0.1:1"
	for range 4 {
		f.add(unreachable, true)
	}
	g.Eventually(func() bool { return f.followers[0].Health().Ready }, testTimeout).Should(BeTrue())
	f.publishChanges(f.followers[0], 20)
	f.add(unreachable, true)
	for _, d := range f.followers {
		g.Eventually(func() int64 { return d.Config().Revision }, testTimeout, "5ms").Should(BeNumerically(">=", 20))
	}
}

// Guards against a daemon that keeps following a log that lost records.
func TestBrokenLogIsNotFollowed(t *testing.T) {
	cases := map[string]struct {
		damage func(*logsrv.Server, *applog.Client)
		want   follow.FaultKind
	}{
		"restarted": {func(s *logsrv.Server, _ *applog.Client) { s.Reset() }, follow.FaultRestarted},
		"truncated": {func(s *logsrv.Server, _ *applog.Client) { s.Truncate(2) }, follow.FaultTruncated},
		"rewritten": {func(s *logsrv.Server, l *applog.Client) {
			s.SetFaults(logsrv.Faults{Down: true})
			s.Truncate(1)
			s.SetFaults(logsrv.Faults{})
			for i := range 3 {
				_, _ = l.Append(context.Background(), newChange(fmt.Sprintf("other%d", i), "west", 0))
			}
		}, follow.FaultRewritten},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, 2).awaitReady()
			f.publishChanges(f.followers[0], 3)
			g.Eventually(func() int64 { return f.followers[1].Config().Revision }, testTimeout).Should(BeEquivalentTo(3))
			l := applog.NewClient(f.url)
			defer l.Close()
			c.damage(f.log, l)
			for _, d := range f.followers {
				g.Eventually(func() *follow.LogFault { return d.Health().Fault }, testTimeout, "5ms").Should(HaveField("Kind", c.want))
				g.Expect(d.Config().Revision).To(BeEquivalentTo(3))
			}
			_, err := publish(t, f.followers[0], newChange("late", "south", 3), testTimeout)
			g.Expect(err).To(HaveField("Kind", c.want))
		})
	}
}

// Guards against a daemon that can't start from the log once retention has
// dropped the first records, and against a snapshot appended by every daemon.
func TestStartFromSnapshot(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 6).awaitReady()
	f.publishChanges(f.followers[0], 12)
	countSnapshots := func() (n int) {
		for _, e := range f.log.Entries() {
			if e.Record.Kind == applog.KindSnapshot {
				n++
			}
		}
		return n
	}
	g.Eventually(countSnapshots, testTimeout, "5ms").Should(BeNumerically(">=", 1))
	g.Consistently(countSnapshots, time.Second, "50ms").Should(BeNumerically("<=", 3))
	g.Expect(expvar.Get("config_snapshots").(*expvar.Map).Get("mismatch")).To(BeNil())
	bad := applog.Record{ID: "bad", Kind: applog.KindSnapshot, Body: []byte(`{"applied":11,"hash":1,"state":"AAAA"}`)}
	l := applog.NewClient(f.url)
	defer l.Close()
	_, err := l.Append(t.Context(), bad)
	g.Expect(err).NotTo(HaveOccurred())
	entries := f.log.Entries()
	f.log.SetFaults(logsrv.Faults{Retain: len(entries) - 6})
	d := f.add(f.url, false)
	g.Eventually(func() int { return len(d.Config().Exceptions) }, testTimeout, "5ms").Should(Equal(12))
	g.Expect(d.Config()).To(Equal(f.followers[0].Config()))
}

// Guards against a snapshot in the log that differs from the daemon's state
// without being counted, and against records accepted from a peer that follows
// another log.
func TestSnapshotMismatchAndOtherGeneration(t *testing.T) {
	g := NewWithT(t)
	d := follow.New(nil, nil, fastOptions)
	m := &wire.ConfExchange{Generation: "g1", Applied: 20}
	for i := int64(1); i <= 9; i++ {
		r := newChange(fmt.Sprint(i), fmt.Sprint(i), i-1)
		if i == 9 {
			r = applog.Record{ID: "snapshot-8-1", Kind: applog.KindSnapshot}
		}
		m.Entries = append(m.Entries, &wire.ConfEntry{Offset: i, Id: r.ID, Kind: string(r.Kind), Base: r.BaseRevision, Body: r.Body})
	}
	_, err := d.HandleExchange(m)
	g.Expect(err).NotTo(HaveOccurred())
	counts := expvar.Get("config_snapshots").(*expvar.Map)
	defer counts.Delete("mismatch")
	g.Expect(counts.Get("mismatch").String()).To(Equal("1"))

	m.Generation = "g2"
	m.Entries = []*wire.ConfEntry{{Offset: 10, Id: "x", Kind: "change"}}
	_, err = d.HandleExchange(m)
	g.Expect(err).To(MatchError(ContainSubstring("another generation")))
	g.Expect(d.AppliedOffset()).To(BeEquivalentTo(9))
}

// Guards against a daemon that starts from the retained end of a log without a
// snapshot as if it were the whole log.
func TestNoSnapshotIsReported(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1).awaitReady()
	f.publishChanges(f.followers[0], 5)
	f.log.SetFaults(logsrv.Faults{Retain: 2})
	d := f.add(f.url, false)
	g.Eventually(func() *follow.LogFault { return d.Health().Fault }, testTimeout, "5ms").Should(HaveField("Kind", follow.FaultNoSnapshot))
	g.Expect(d.Health().Ready).To(BeFalse())
}

// Guards against a state that does not fit in one frame between daemons when the
// outcome window is full.
func TestFullStateFitsFrame(t *testing.T) {
	g := NewWithT(t)
	d := follow.New(nil, nil, fastOptions, func(o *follow.Options) { o.RecordsPerSnapshot = 1 << 20 })
	r := rand.New(rand.NewPCG(1, 2))
	for i := int64(1); i <= fold.OutcomeWindow+fold.MaxHistory; i++ {
		rec := newChange(fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64()), fmt.Sprintf("centre%d", i%100), i-1)
		_, err := d.HandleExchange(&wire.ConfExchange{Applied: i, Entries: []*wire.ConfEntry{{
			Offset: i, Id: rec.ID, Kind: string(rec.Kind), Base: rec.BaseRevision, Author: rec.Author, Body: rec.Body,
		}}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	reply, err := d.HandleExchange(&wire.ConfExchange{WantState: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.State).NotTo(BeEmpty())
	g.Expect(proto.Size(reply)).To(BeNumerically("<", 240<<10))
}
