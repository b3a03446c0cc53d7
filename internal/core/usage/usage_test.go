package usage_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
)

const length = 5 * clock.Second

// at returns an instant of window 10.
func at(seconds clock.Milli) clock.Milli { return 10*length + seconds*clock.Second }

func window(n int64) []usage.Window {
	return []usage.Window{{Index: 10, Counts: usage.Counts{"w": n}}}
}

// Guards against counts that are settled although a guard's part of the window is missing, and
// against windows that are missed because of a guard that was not there or ended as planned.
func TestCoverage(t *testing.T) {
	full := usage.Answer{Member: "a", Incarnation: 1, Since: at(-60), Until: at(6), Windows: window(7)}
	tests := map[string]struct {
		answers []usage.Answer
		linked  []string
		missing float64
		total   int64
	}{
		"complete":             {[]usage.Answer{full}, []string{"a"}, 0, 7},
		"no answer of a guard": {[]usage.Answer{full}, []string{"a", "b"}, 0.5, 7},
		"killed after an early answer": {
			[]usage.Answer{full, {Member: "b", Since: at(-60), Until: at(3), Windows: window(2)}}, []string{"a", "b"}, 0.2, 9,
		},
		"killed and started again": {[]usage.Answer{
			full,
			{Member: "b", Incarnation: 1, Since: at(-60), Until: at(1), Windows: window(2)},
			{Member: "b", Incarnation: 2, Succeeds: true, Since: at(2), Until: at(6), Windows: window(3)},
		}, []string{"a", "b"}, 0.1, 12},
		"stopped as planned": {
			[]usage.Answer{full, {Member: "b", Since: at(-60), Until: at(2), Final: true, Windows: window(2)}}, []string{"a", "b"}, 0, 9,
		},
		"stopped as planned before, started again": {[]usage.Answer{
			full,
			{Member: "b", Incarnation: 1, Since: at(-60), Until: at(-2), Final: true},
			{Member: "b", Incarnation: 2, Succeeds: true, Since: at(3), Until: at(6), Windows: window(1)},
		}, []string{"a", "b"}, 0, 8},
		"stopped as planned before, killed since": {[]usage.Answer{
			full,
			{Member: "b", Incarnation: 1, Since: at(-60), Until: at(-38), Final: true},
			{Member: "b", Incarnation: 2, Succeeds: true, Since: at(-36), Until: at(3), Windows: window(1)},
		}, []string{"a", "b"}, 0.2, 8},
		"new machine": {[]usage.Answer{full, {Member: "b", Since: at(3), Until: at(6), Windows: window(1)}}, []string{"a", "b"}, 0, 8},
		"an earlier answer that arrives late": {
			[]usage.Answer{full, {Member: "a", Incarnation: 1, Since: at(-60), Until: at(3), Windows: window(4)}}, []string{"a"}, 0, 7,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := usage.NewCollector(length)
			c.Linked(at(1), tt.linked)
			for _, a := range tt.answers {
				c.Add(a)
			}
			g.Expect(c.Coverage(10).Missing).To(BeNumerically("~", tt.missing, 1e-9))
			g.Expect(c.Total(10)).To(Equal(usage.Counts{"w": tt.total}))
		})
	}
}

// Guards against a guard whose clock was ahead: its answers after the correction must count,
// and what it counted before in windows to come must not.
func TestClockSetBack(t *testing.T) {
	g := NewWithT(t)
	counter := usage.NewCounter(length, 5)
	counter.Add(at(3600), "w", 9)
	counter.DropAfter(at(1))
	counter.Add(at(2), "w", 3)
	g.Expect(counter.From(0)).To(Equal(window(3)))

	c := usage.NewCollector(length)
	c.Linked(at(1), []string{"a"})
	c.Add(usage.Answer{Member: "a", Incarnation: 1, Since: at(3500), Until: at(3600), Windows: []usage.Window{{Index: 729, Counts: usage.Counts{"w": 9}}}})
	c.Add(usage.Answer{Member: "a", Incarnation: 1, Since: at(1), Until: at(6), Succeeds: true, Windows: window(3)})
	g.Expect(c.Coverage(10).Missing).To(BeNumerically("~", 0.2, 1e-9))
	g.Expect(c.Total(10)).To(Equal(usage.Counts{"w": 3}))
	g.Expect(c.Total(729)).To(BeEmpty())
}

// Guards against a window that is settled with too little, or again after a restore of the
// store, and against a report that is sent without settled counts.
func TestDecide(t *testing.T) {
	timing := usage.Timing{Length: length, Due: 10 * clock.Second, Tolerance: 0.05}
	missing := func(share float64) usage.Coverage { return usage.Coverage{Guards: 20, Missing: share} }
	tests := map[string]struct {
		now     clock.Milli
		state   usage.State
		verdict usage.Verdict
		reason  usage.Reason
	}{
		"too early":              {at(5.2), usage.State{Coverage: missing(0)}, usage.VerdictWait, usage.ReasonNone},
		"complete":               {at(5.6), usage.State{Coverage: missing(0)}, usage.VerdictSettle, usage.ReasonNone},
		"little missing, early":  {at(8), usage.State{Coverage: missing(0.01)}, usage.VerdictWait, usage.ReasonNone},
		"little missing, late":   {at(12), usage.State{Coverage: missing(0.01)}, usage.VerdictSettle, usage.ReasonNone},
		"much missing, late":     {at(12), usage.State{Coverage: missing(0.2)}, usage.VerdictMiss, usage.ReasonCountsMissing},
		"first answers":          {at(12), usage.State{Collecting: true, Coverage: missing(0.2)}, usage.VerdictWait, usage.ReasonNone},
		"settled":                {at(6), usage.State{Settled: true}, usage.VerdictSend, usage.ReasonNone},
		"settled, past its time": {at(16), usage.State{Settled: true}, usage.VerdictMiss, usage.ReasonNotAccepted},
		"accepted":               {at(16), usage.State{Settled: true, Accepted: true}, usage.VerdictDone, usage.ReasonNone},
		"store restored":         {at(6), usage.State{Complete: at(1), Coverage: missing(0)}, usage.VerdictMiss, usage.ReasonRestored},
		"never settled":          {at(16), usage.State{Coverage: missing(0)}, usage.VerdictMiss, usage.ReasonNotSettled},
		"before the system":      {at(16), usage.State{}, usage.VerdictDone, usage.ReasonNone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			verdict, reason := timing.Decide(tt.now, 10, tt.state)
			g.Expect(verdict).To(Equal(tt.verdict))
			g.Expect(reason).To(Equal(tt.reason))
		})
	}
}
