package share

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Guards against memory that grows with each route that ever had calls at an upstream that is
// never half full.
func TestTableRemovesRoutesWithoutCalls(t *testing.T) {
	g := NewWithT(t)
	var table Table
	for i := range 1000 {
		table.Observe(clock.Milli(i)*100, strconv.Itoa(i), 0)
	}
	g.Expect(len(table.routes)).To(BeNumerically("<", 50))
}
