package watch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/watch"
)

func fleet(centres, each int) []watch.Daemon {
	var out []watch.Daemon
	for c := range centres {
		for i := range each {
			out = append(out, watch.Daemon{ID: fmt.Sprintf("10.%d.0.%d:7000", c, i), Centre: fmt.Sprintf("c%d", c)})
		}
	}
	return out
}

// lose marks the daemons with these ids as unable to reach the store.
func lose(daemons []watch.Daemon, ids ...string) []watch.Daemon {
	out := append([]watch.Daemon(nil), daemons...)
	for i := range out {
		for _, id := range ids {
			out[i].StoreLost = out[i].StoreLost || out[i].ID == id
		}
	}
	return out
}

// Guards against data centres without a watcher and against a number of watchers that
// grows with the fleet.
func TestSelect(t *testing.T) {
	const fresh, old = clock.Second, 10 * clock.Second
	all := fleet(3, 65)
	watchers := watch.Select(all, fresh).Watchers
	cases := map[string]struct {
		daemons []watch.Daemon
		age     clock.Milli
		check   func(g Gomega, got []string)
	}{
		"one a data centre": {all, fresh, func(g Gomega, got []string) { g.Expect(got).To(HaveLen(3)) }},
		"a single daemon":   {all[:1], fresh, func(g Gomega, got []string) { g.Expect(got).To(Equal([]string{all[0].ID})) }},
		"3200 daemons":      {fleet(18, 178), fresh, func(g Gomega, got []string) { g.Expect(got).To(HaveLen(18)) }},
		"a watcher cut off": {lose(all, watchers[0]), fresh, func(g Gomega, got []string) {
			g.Expect(got).To(HaveLen(3))
			g.Expect(got).NotTo(ContainElement(watchers[0]))
		}},
		"all watchers cut": {lose(all, watchers...), fresh, func(g Gomega, got []string) {
			g.Expect(got).To(HaveLen(3))
			g.Expect(got).NotTo(ContainElement(BeElementOf(watchers)))
		}},
		"store down":         {lose(all, watchers...), old, func(g Gomega, got []string) { g.Expect(got).To(Equal(watchers)) }},
		"data centre cut":    {lose(all, ids(all[:65])...), fresh, func(g Gomega, got []string) { g.Expect(got).To(HaveLen(3)) }},
		"one data centre":    {all[:65], fresh, func(g Gomega, got []string) { g.Expect(got).To(HaveLen(3)) }},
		"two data centres":   {all[:130], fresh, func(g Gomega, got []string) { g.Expect(got).To(HaveLen(4)) }},
		"watcher dies":       {all[1:], fresh, func(g Gomega, got []string) { g.Expect(got).To(HaveLen(3)) }},
		"one leaves, others": {without(all, watchers[0]), fresh, func(g Gomega, got []string) { g.Expect(got).To(ContainElements(watchers[1:])) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			duties := watch.Select(c.daemons, c.age)
			c.check(g, duties.Watchers)
			g.Expect(duties.Relays).To(ContainElements(duties.Watchers))
		})
	}
}

func ids(daemons []watch.Daemon) []string {
	var out []string
	for _, d := range daemons {
		out = append(out, d.ID)
	}
	return out
}

func without(daemons []watch.Daemon, id string) []watch.Daemon {
	var out []watch.Daemon
	for _, d := range daemons {
		if d.ID != id {
			out = append(out, d)
		}
	}
	return out
}

// Guards against a fleet that floods a store that is down with reads, and against one
// that never notices its return.
func TestPollRate(t *testing.T) {
	g := NewWithT(t)
	const daemons, duration, step = 200, 60 * clock.Second, 200 * clock.Millisecond
	polls := make([]watch.Poll, daemons)
	random := rand.New(rand.NewPCG(1, 1))
	reads := 0
	for now := clock.Milli(0); now < duration; now += step {
		for i := range polls {
			if polls[i].Due(now, now, daemons, random.Float64()) {
				reads++
			}
		}
	}
	stale := float64((duration - watch.StaleAfter) / clock.Second)
	g.Expect(float64(reads) / stale).To(And(BeNumerically(">", 1), BeNumerically("<", 4)))
	var p watch.Poll
	g.Expect(p.Due(duration, clock.Second, daemons, 0.5)).To(BeFalse())
}
