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

const soon = 5 * time.Second

// Guards against an accepted change that does not come into force everywhere,
// or that a fault of the log makes fail or take effect twice.
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
			f := newFleet(t, 4).ready()
			f.log.SetFaults(faults)
			o, err := publish(t, f.list[0], out("a", "north", 0), soon)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o.Status).To(Equal(fold.StatusAccepted))
			g.Eventually(func() bool {
				return f.list[1].Coverage(t.Context(), o.Offset).Complete()
			}, soon, "10ms").Should(BeTrue())
			again, err := publish(t, f.list[2], out("a", "north", 0), soon)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).To(Equal(o))
			_, err = publish(t, f.list[2], out("a", "south", 0), soon)
			g.Expect(err).To(Equal(&follow.IDReusedError{ID: "a"}))
			g.Expect(f.log.Entries()).To(HaveLen(1))
		})
	}
}

// Guards against two concurrent changes that both take effect or whose loser
// is not told the winner.
func TestRaceHasOneWinner(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 3).ready()
	var wg sync.WaitGroup
	outcomes := make([]fold.Outcome, 3)
	for i, d := range f.list {
		wg.Go(func() { outcomes[i], _ = publish(t, d, out(fmt.Sprintf("r%d", i), "north", 0), soon) })
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

// Guards against a change during an outage that is reported as failed or as
// accepted, and against one that can't be resolved by its id afterwards.
func TestOutageIsNotKnownYet(t *testing.T) {
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
			f := newFleet(t, 2).ready()
			f.log.SetFaults(c.faults)
			_, err := publish(t, f.list[0], out("a", "north", 0), 400*time.Millisecond)
			var unknown *follow.OutcomeUnknownError
			g.Expect(errors.As(err, &unknown)).To(BeTrue())
			g.Expect(unknown.Sent).To(Equal(c.sent))
			g.Expect(f.list[0].Config().Revision).To(BeZero())
			f.log.SetFaults(logsrv.Faults{})
			o, err := publish(t, f.list[1], out("a", "north", 0), soon)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o.Status).To(Equal(fold.StatusAccepted))
			found, err := f.list[0].AwaitOutcome(t.Context(), "a")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(found).To(Equal(o))
			_, err = f.list[0].AwaitOutcome(t.Context(), "b")
			g.Expect(err).To(BeAssignableToTypeOf(unknown))
		})
	}
}

// Guards against daemons that need the log although a peer has the revision:
// running ones, and one that starts while the log can't be reached.
func TestPeersReplaceTheLog(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1)
	dead := "http://127.0.0.1:1"
	for range 4 {
		f.add(dead, true)
	}
	g.Eventually(func() bool { return f.list[0].Health().Ready }, soon).Should(BeTrue())
	f.fill(f.list[0], 20)
	f.add(dead, true)
	for _, d := range f.list {
		g.Eventually(func() int64 { return d.Config().Revision }, soon, "5ms").Should(BeNumerically(">=", 20))
	}
}

// Guards against a log that lost records and is followed all the same.
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
				_, _ = l.Append(context.Background(), out(fmt.Sprintf("other%d", i), "west", 0))
			}
		}, follow.FaultRewritten},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, 2).ready()
			f.fill(f.list[0], 3)
			g.Eventually(func() int64 { return f.list[1].Config().Revision }, soon).Should(BeEquivalentTo(3))
			l := applog.NewClient(f.url)
			defer l.Close()
			c.damage(f.log, l)
			for _, d := range f.list {
				g.Eventually(func() *follow.LogFault { return d.Health().Fault }, soon, "5ms").Should(HaveField("Kind", c.want))
				g.Expect(d.Config().Revision).To(BeEquivalentTo(3))
			}
			_, err := publish(t, f.list[0], out("late", "south", 3), soon)
			g.Expect(err).To(HaveField("Kind", c.want))
		})
	}
}

// Guards against a daemon that can't start from the log once retention has
// dropped the first records, and against a snapshot from every daemon.
func TestStartFromSnapshot(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 6).ready()
	f.fill(f.list[0], 12)
	taken := func() (n int) {
		for _, e := range f.log.Entries() {
			if e.Record.Kind == applog.KindSnapshot {
				n++
			}
		}
		return n
	}
	g.Eventually(taken, soon, "5ms").Should(BeNumerically(">=", 1))
	g.Consistently(taken, time.Second, "50ms").Should(BeNumerically("<=", 3))
	g.Expect(expvar.Get("config_snapshots").(*expvar.Map).Get("mismatch")).To(BeNil())
	bad := applog.Record{ID: "bad", Kind: applog.KindSnapshot, Body: []byte(`{"applied":11,"hash":1,"state":"AAAA"}`)}
	l := applog.NewClient(f.url)
	defer l.Close()
	_, err := l.Append(t.Context(), bad)
	g.Expect(err).NotTo(HaveOccurred())
	entries := f.log.Entries()
	f.log.SetFaults(logsrv.Faults{Retain: len(entries) - 6})
	d := f.add(f.url, false)
	g.Eventually(func() int { return len(d.Config().Exceptions) }, soon, "5ms").Should(Equal(12))
	g.Expect(d.Config()).To(Equal(f.list[0].Config()))
}

// Guards against a snapshot that differs from the own state unnoticed, and
// against a state or records taken from a peer that follows another log.
func TestForeignStateIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	d := follow.New(nil, nil, quick)
	m := &wire.ConfExchange{Generation: "g1", Applied: 20}
	for i := int64(1); i <= 9; i++ {
		r := out(fmt.Sprint(i), fmt.Sprint(i), i-1)
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

// Guards against a daemon that takes the rest of a log for the whole of it.
func TestNoSnapshotIsReported(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1).ready()
	f.fill(f.list[0], 5)
	f.log.SetFaults(logsrv.Faults{Retain: 2})
	d := f.add(f.url, false)
	g.Eventually(func() *follow.LogFault { return d.Health().Fault }, soon, "5ms").Should(HaveField("Kind", follow.FaultNoSnapshot))
	g.Expect(d.Health().Ready).To(BeFalse())
}

// Guards against a state that does not fit one frame between daemons when the
// window of outcomes is full.
func TestFullStateFitsFrame(t *testing.T) {
	g := NewWithT(t)
	d := follow.New(nil, nil, quick, func(o *follow.Options) { o.RecordsPerSnapshot = 1 << 20 })
	r := rand.New(rand.NewPCG(1, 2))
	for i := int64(1); i <= fold.OutcomeWindow+fold.MaxHistory; i++ {
		rec := out(fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64()), fmt.Sprintf("centre%d", i%100), i-1)
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
