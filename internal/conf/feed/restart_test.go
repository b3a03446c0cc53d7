package feed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a store that counts as lost because the daemon itself cancelled a read.
func TestRestartIsNoLoss(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.add("k", "v")
	f, _ := startFollower(t, s)
	reads := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.reads
	}
	g.Eventually(f.Online, time.Second).Should(BeTrue())
	g.Eventually(reads, time.Second).Should(BeNumerically(">=", 2))
	before := reads()
	s.update(func(s *fakeStore) { s.unresponsive = true })
	f.Restart()
	g.Consistently(f.Failing, 400*time.Millisecond).Should(BeFalse())
	g.Expect(f.Online()).To(BeTrue())
	s.update(func(s *fakeStore) { s.unresponsive = false })
	g.Eventually(reads, maxRecovery).Should(BeNumerically(">", before))
}
