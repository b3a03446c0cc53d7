package feed_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
)

// Guards against positions whose order is not that of the eras, then of the offsets, also if
// the store begins with a large era.
func TestPositionOrder(t *testing.T) {
	ordered := map[string][]feed.Position{
		"small eras": {feed.NewPosition(0, 0), feed.NewPosition(0, 9), feed.NewPosition(1, 0), feed.NewPosition(1, 7), feed.NewPosition(2, 3)},
		"large eras": {feed.NewPosition(1_780_000_000_000, 5), feed.NewPosition(1_780_000_000_001, 0), feed.NewPosition(1_780_000_000_002, 0)},
		// The sign bit would be set.
		"eras from 2^23": {feed.NewPosition(1<<23, 5), feed.NewPosition(1<<23+1, 0)},
	}
	for name, positions := range ordered {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for i := 1; i < len(positions); i++ {
				g.Expect(positions[i]).To(BeNumerically(">", positions[i-1]))
			}
			g.Expect(positions[0]).To(BeNumerically(">=", 0))
		})
	}
	NewWithT(t).Expect(feed.NewPosition(2, 3).String()).To(Equal("2/3"))
}
