package call_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Guards against a reason in the logs that the operators' page does not
// explain.
func TestReasonsAreExplained(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../../docs/reasons.md")
	g.Expect(err).NotTo(HaveOccurred())
	for r := call.ReasonNone; !strings.HasPrefix(r.String(), "Reason("); r++ {
		g.Expect(string(page)).To(ContainSubstring("| "+r.String()+" |"), r.String())
	}
}
