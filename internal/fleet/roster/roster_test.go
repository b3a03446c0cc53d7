package roster_test

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/roster"
)

func newFact(i int) member.Fact {
	return member.Fact{
		ID: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), Incarnation: 1, Service: "plans",
		Centre: fmt.Sprintf("dc%d", i%4), Slots: 6,
	}
}

// Guards against a target that stays after its member is dead or has left, and
// against a stale fact that restores an older incarnation.
func TestApply(t *testing.T) {
	cases := map[string]struct {
		change func(f *member.Fact)
		want   int
	}{
		"dead":              {func(f *member.Fact) { f.Status = member.Dead }, 2},
		"left":              {func(f *member.Fact) { f.Seq, f.Status = 1, member.Left }, 2},
		"suspected":         {func(f *member.Fact) { f.Status = member.Suspect }, 3},
		"other service":     {func(f *member.Fact) { f.Seq, f.Service = 1, "photos" }, 2},
		"older incarnation": {func(f *member.Fact) { f.Incarnation, f.Service = 0, "photos" }, 3},
		"leaving":           {func(f *member.Fact) { f.Seq, f.Leaving = 1, true }, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := roster.New("10.9.9.9:1", "dc0")
			r.Apply(newFact(0), newFact(1), newFact(2))
			f := newFact(1)
			tc.change(&f)
			r.Apply(f)
			g.Expect(r.Targets("plans")).To(HaveLen(tc.want))
		})
	}
}

// Guards against subsets that spread links unevenly over targets or that replace
// other targets than the one that has died.
func TestSubset(t *testing.T) {
	g := NewWithT(t)
	const targets, entries, size = 200, 400, 24
	links := map[string]int{}
	facts := make([]member.Fact, targets)
	for i := range facts {
		facts[i] = newFact(i)
	}
	changed := 0
	for e := range entries {
		r := roster.New(fmt.Sprintf("10.8.%d.%d:1", e/256, e%256), "elsewhere", roster.WithMaxSubset(size))
		r.Apply(facts...)
		before := r.Targets("plans")
		g.Expect(before).To(HaveLen(size))
		for _, c := range before {
			links[c.ID]++
		}
		dead := newFact(0)
		dead.Status = member.Dead
		r.Apply(dead)
		for _, c := range r.Targets("plans") {
			if !contains(before, c.ID) {
				changed++
			}
		}
	}
	g.Expect(changed).To(Equal(links[newFact(0).ID]), "only entries that used the target replace it")
	for id, n := range links {
		g.Expect(n).To(And(BeNumerically(">", 20), BeNumerically("<", 80)), id)
	}
}

func contains(all []call.Target, id string) bool {
	for _, c := range all {
		if c.ID == id {
			return true
		}
	}
	return false
}

// Guards against readers that see a partial update of the table, and against lost
// notifications.
func TestConcurrentReads(t *testing.T) {
	g := NewWithT(t)
	r := roster.New("10.9.9.9:1", "dc0")
	var notifiedTargets int
	cancel := r.Subscribe("plans", func(_ string, ts []call.Target) { notifiedTargets = len(ts) })
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 2000 {
				for _, c := range r.Targets("plans") {
					if c.Service != "plans" {
						t.Error("target of another service")
					}
				}
			}
		})
	}
	for i := range 20 {
		r.Apply(newFact(i))
	}
	wg.Wait()
	g.Expect(notifiedTargets).To(Equal(20))
	cancel()
	r.Apply(newFact(21))
	g.Expect(notifiedTargets).To(Equal(20))
}
