package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
)

// Guards against a key that is found in the wrong workspace, and against a table that shows
// keys when it is printed.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	keys := make(route.Keys)
	for i := range 75 {
		var own []string
		for j := range 100 {
			own = append(own, fmt.Sprintf("key-%d-%d", i, j))
		}
		g.Expect(keys.Add(&route.Workspace{Name: fmt.Sprint("ws", i)}, own)).To(Succeed())
	}
	w, ok := keys.Workspace("key-74-99")
	g.Expect(ok).To(BeTrue())
	g.Expect(w.Name).To(Equal("ws74"))
	_, ok = keys.Workspace("key-75-0")
	g.Expect(ok).To(BeFalse())
	g.Expect(fmt.Sprintf("%+v", keys)).NotTo(ContainSubstring("key-"))
}
