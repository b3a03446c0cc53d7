package lbsim_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/lbsim"
)

func findScenario(t *testing.T, name string) lbsim.Scenario {
	for _, s := range lbsim.Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return lbsim.Scenario{}
}

// Guards against runs with the same seed that differ.
func TestRunIsDeterministic(t *testing.T) {
	s := findScenario(t, "cold_one")
	core := lbsim.Policies()[0]
	NewWithT(t).Expect(lbsim.Run(s, core, 3)).To(Equal(lbsim.Run(s, core, 3)))
}

// Guards against a decision core that misses its performance goals. The bounds are
// those of the design; the run also asserts the invariants.
func TestCoreMeetsGoals(t *testing.T) {
	cases := map[string]func(g *WithT, core, ideal lbsim.Result){
		"t8c3_load_0.70": func(g *WithT, core, ideal lbsim.Result) {
			g.Expect(core.P99).To(BeNumerically("<=", 1.3*ideal.P99))
		},
		"overload_1.3x": func(g *WithT, core, ideal lbsim.Result) {
			g.Expect(core.Goodput).To(BeNumerically(">=", 0.95*ideal.Goodput))
			g.Expect(core.RecoveryTime).To(BeNumerically("<=", clock.Second))
		},
		"frozen": func(g *WithT, core, _ lbsim.Result) {
			g.Expect(core.Goodput).To(BeNumerically(">=", 0.99))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := findScenario(t, name)
			core := lbsim.Run(s, lbsim.Policies()[0], 1)
			g.Expect(core.Amplification).To(BeNumerically("<=", 1.1))
			check(g, core, lbsim.RunIdeal(s, 1))
		})
	}
}
