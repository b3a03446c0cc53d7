package feed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
)

// Guards against a poll that ends without records because its position is lost: the follower
// then got them only with the next poll.
func TestPollAtLostPosition(t *testing.T) {
	tests := map[string]func(s *fakeStore){
		"restored":           func(s *fakeStore) { s.restore() },
		"no longer retained": func(s *fakeStore) { s.update(func(s *fakeStore) { s.firstOffset = 3 }) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeStore()
			s.add("k", "old")
			f, out := startFollower(t, s, feed.WithIdleStart())
			f.Poll()
			g.Eventually(out.value("k"), time.Second).Should(Equal("old"))
			s.add("x", "lost")
			lose(s)
			s.add("k", "new")
			f.Poll()
			g.Eventually(out.value("k"), time.Second).Should(Equal("new"))
		})
	}
}

// restoredSink needs a full read some time after a restore, until it gets one.
type restoredSink struct {
	sink
	era    int64
	needAt time.Time
}

func (s *restoredSink) Replace(items []feed.Item, end feed.Position) {
	s.Apply(items, end)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case end.Era() > s.era:
		s.era, s.needAt = end.Era(), time.Now().Add(feed.RestoreSettleTime.Duration())
	case !time.Now().Before(s.needAt):
		s.needAt = time.Time{}
	}
}

func (s *restoredSink) FullReadIn() (clock.Milli, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.FromDuration(time.Until(s.needAt)), !s.needAt.IsZero()
}

// Guards against a key that was removed between a restore and the first read after it, and
// that the follower keeps.
func TestKeysAreReadAgainAfterRestore(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.add("k", "old")
	f := startFollowerWith(t, s, &restoredSink{sink: sink{values: map[string]string{}}})
	g.Eventually(f.Position, time.Second).Should(Equal(feed.Position(1)))
	s.restore()
	g.Eventually(f.Position, maxRecovery).Should(Equal(feed.NewPosition(1, 1)))
	fullReads := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fullReads
	}
	before := fullReads()
	g.Eventually(fullReads, feed.RestoreSettleTime.Duration()+time.Second).Should(Equal(before + 1))
	g.Consistently(fullReads, 500*time.Millisecond).Should(Equal(before + 1))
}
