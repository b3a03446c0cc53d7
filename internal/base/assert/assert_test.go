package assert_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
)

// Guards against a violation that is not counted or not passed to the hook.
func TestThatReportsViolations(t *testing.T) {
	g := NewWithT(t)
	var seen []assert.Violation
	defer assert.SetHook(func(v assert.Violation) { seen = append(seen, v) })()

	before := assert.Count(assert.AtMostOnce)
	g.Expect(assert.That(true, assert.AtMostOnce, "unused")).To(BeTrue())
	g.Expect(assert.That(false, assert.AtMostOnce, "id %d ran twice", 7)).To(BeFalse())
	g.Expect(seen).To(ConsistOf(assert.Violation{Invariant: assert.AtMostOnce, Detail: "id 7 ran twice"}))
	g.Expect(assert.Count(assert.AtMostOnce)).To(Equal(before + 1))
}

// Guards against a violation that does not fail the test in which it occurs.
func TestThatPanicsInTests(t *testing.T) {
	g := NewWithT(t)
	g.Expect(func() { assert.That(false, assert.OwnAnswer, "response of another call") }).To(PanicWith(ContainSubstring("own_answer")))
}
