package mesh

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/meter"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/lease"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/duty"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// newTestUsageReporter returns the work of a holder without other daemons, whose clock is ahead.
func newTestUsageReporter(ahead clock.Milli) *usageReporter {
	settings := &UsageSettings{Timing: usage.Timing{Length: 5 * clock.Second, Due: 10 * clock.Second, Tolerance: 0.05}}
	c := &usageCounter{
		self: "a", boot: clock.NewBoot(), identity: &wire.UsageCounts{Member: "a"}, correction: ahead,
		counter: usage.NewCounter(settings.Timing.Length, 5), highestToken: func() int64 { return 0 },
	}
	c.since = c.trueTime()
	u := &usageReporter{settings: settings, log: zerolog.Nop(), meter: meter.New(), counter: c, runner: &duty.Runner{}}
	u.puller = &usagePuller{
		settings: settings, counter: c, linkedIDs: func() []string { return []string{"a"} },
		collector: usage.NewCollector(settings.Timing.Length), inFlight: make(map[string]bool), clocks: make(map[string]clock.Milli),
	}
	u.runner.Init("a", lease.Timing{Lease: clock.Second})
	u.Begin()
	return u
}

// Guards against a holder that reports nothing, or misses guards that are gone, until the
// instant that its clock showed before it was set back.
func TestHolderClockSetBack(t *testing.T) {
	g := NewWithT(t)
	const ahead = 3600 * clock.Second
	u := newTestUsageReporter(ahead)
	u.Step(t.Context())
	before := u.first
	u.counter.correct(0)
	u.Step(t.Context())
	now := u.counter.trueTime()
	g.Expect(u.first).To(Equal(u.settings.Timing.First(now)))
	g.Expect(u.puller.lastRound).To(BeNumerically("<=", now))
	g.Expect(u.puller.coverage(before).Guards).To(BeZero())
}

// Guards against memory that grows for as long as a daemon is the holder.
func TestHolderDropsOldWindows(t *testing.T) {
	g := NewWithT(t)
	u := newTestUsageReporter(0)
	// Without the clocks of most daemons, the clock is not corrected.
	u.puller.linkedIDs = func() []string { return []string{"a", "b", "c"} }
	u.puller.inFlight["b"], u.puller.inFlight["c"] = true, true
	for range 200 {
		u.counter.correction += u.settings.Timing.Length
		u.Step(t.Context())
		w := int64(u.counter.trueTime() / u.settings.Timing.Length)
		u.stored[w], u.accepted[w] = true, true
	}
	g.Expect(len(u.done) + len(u.stored) + len(u.accepted)).To(BeNumerically("<", 6*settledKeys))
}
