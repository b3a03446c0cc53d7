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

func fact(i int) member.Fact {
	return member.Fact{
		ID: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), Incarnation: 1, Service: "plans",
		Centre: fmt.Sprintf("dc%d", i%4), Slots: 6,
	}
}

// Guards against a gone target that is still offered and a stale fact that
// brings an older incarnation back.
func TestApply(t *testing.T) {
	cases := map[string]struct {
		change func(f *member.Fact)
		want   int
	}{
		"dead":            {func(f *member.Fact) { f.Status = member.Dead }, 2},
		"left":            {func(f *member.Fact) { f.Seq, f.Status = 1, member.Left }, 2},
		"suspected":       {func(f *member.Fact) { f.Status = member.Suspect }, 3},
		"other service":   {func(f *member.Fact) { f.Seq, f.Service = 1, "photos" }, 2},
		"older":           {func(f *member.Fact) { f.Incarnation, f.Service = 0, "photos" }, 3},
		"leaving is kept": {func(f *member.Fact) { f.Seq, f.Leaving = 1, true }, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := roster.New("10.9.9.9:1", "dc0")
			r.Apply(fact(0), fact(1), fact(2))
			f := fact(1)
			tc.change(&f)
			r.Apply(f)
			g.Expect(r.Targets("plans")).To(HaveLen(tc.want))
		})
	}
}

// Guards against subsets that load targets unevenly or change at large when
// one member changes.
func TestSubset(t *testing.T) {
	g := NewWithT(t)
	const targets, entries, size = 200, 400, 24
	links := map[string]int{}
	facts := make([]member.Fact, targets)
	for i := range facts {
		facts[i] = fact(i)
	}
	changed := 0
	for e := range entries {
		r := roster.New(fmt.Sprintf("10.8.%d.%d:1", e/256, e%256), "elsewhere", roster.WithSubset(size))
		r.Apply(facts...)
		before := r.Targets("plans")
		g.Expect(before).To(HaveLen(size))
		for _, c := range before {
			links[c.ID]++
		}
		gone := fact(0)
		gone.Status = member.Dead
		r.Apply(gone)
		for _, c := range r.Targets("plans") {
			if !contains(before, c.ID) {
				changed++
			}
		}
	}
	g.Expect(changed).To(Equal(links[fact(0).ID]), "only entries that used the target replace it")
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

// Guards against readers that see a half-made table, and lost notifications.
func TestConcurrentReads(t *testing.T) {
	g := NewWithT(t)
	r := roster.New("10.9.9.9:1", "dc0")
	var told int
	cancel := r.Subscribe("plans", func(_ string, ts []call.Target) { told = len(ts) })
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
		r.Apply(fact(i))
	}
	wg.Wait()
	g.Expect(told).To(Equal(20))
	cancel()
	r.Apply(fact(21))
	g.Expect(told).To(Equal(20))
}
