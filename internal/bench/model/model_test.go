package model_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/model"
)

func scenario(t *testing.T, name string) model.Scenario {
	for _, s := range model.Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return model.Scenario{}
}

// Guards against runs that cannot be repeated from their seed.
func TestRunsRepeat(t *testing.T) {
	s := scenario(t, "cold_one")
	core := model.Policies()[0]
	NewWithT(t).Expect(model.Run(s, core, 3)).To(Equal(model.Run(s, core, 3)))
}

// Guards against a decision core that misses its goals in a short run, with
// the bounds of the design page. The invariants are asserted meanwhile.
func TestCoreHoldsItsGoals(t *testing.T) {
	cases := map[string]func(g *WithT, core, ideal model.Result){
		"t8c3_load_0.70": func(g *WithT, core, ideal model.Result) {
			g.Expect(core.P99).To(BeNumerically("<=", 1.3*ideal.P99))
		},
		"overload_1.3x": func(g *WithT, core, ideal model.Result) {
			g.Expect(core.Goodput).To(BeNumerically(">=", 0.95*ideal.Goodput))
			g.Expect(core.Recovery).To(BeNumerically("<=", clock.Second))
		},
		"frozen": func(g *WithT, core, _ model.Result) {
			g.Expect(core.Goodput).To(BeNumerically(">=", 0.99))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := scenario(t, name)
			core := model.Run(s, model.Policies()[0], 1)
			g.Expect(core.Amplification).To(BeNumerically("<=", 1.1))
			check(g, core, model.RunIdeal(s, 1))
		})
	}
}
