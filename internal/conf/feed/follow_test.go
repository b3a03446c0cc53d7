package feed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeStore is a store with one topic and switchable faults.
type fakeStore struct {
	mu          sync.Mutex
	items       []feed.Item
	firstOffset int64
	era         int64
	down        bool
	// hang makes Read wait although there are items to return.
	hang bool
	// unresponsive makes the store never answer the calls it receives, even after
	// the field is cleared.
	unresponsive bool
	reads        int
	fullReads    int
	appended     chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{appended: make(chan struct{})} }

func (s *fakeStore) add(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, feed.Item{Key: key, Value: []byte(value), Position: feed.Position(len(s.items))})
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *fakeStore) update(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// restore drops all items but the first one and begins an era.
func (s *fakeStore) restore() {
	s.update(func(s *fakeStore) {
		s.items, s.era = s.items[:1], s.era+1
		close(s.appended)
		s.appended = make(chan struct{})
	})
}

// awaitCancel blocks until ctx is done if the store is unresponsive.
func (s *fakeStore) awaitCancel(ctx context.Context) error {
	s.mu.Lock()
	unresponsive := s.unresponsive
	s.mu.Unlock()
	if !unresponsive {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeStore) Newest(ctx context.Context, _ string) (feed.Batch, error) {
	if err := s.awaitCancel(ctx); err != nil {
		return feed.Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.fullReads++
	if s.down {
		return feed.Batch{}, feed.ErrUnavailable
	}
	newest := map[string]feed.Item{}
	for _, i := range s.items {
		newest[i.Key] = i
	}
	b := feed.Batch{End: feed.NewPosition(s.era, int64(len(s.items)))}
	for _, i := range newest {
		b.Items = append(b.Items, i)
	}
	return b, nil
}

func (s *fakeStore) Read(ctx context.Context, _ string, from feed.Position, wait clock.Milli) (feed.Batch, error) {
	if err := s.awaitCancel(ctx); err != nil {
		return feed.Batch{}, err
	}
	limit := time.After(wait.Duration())
	for {
		s.mu.Lock()
		s.reads++
		added, hang := s.appended, s.hang
		switch {
		case s.down:
			s.mu.Unlock()
			return feed.Batch{}, feed.ErrUnavailable
		case from.Era() < s.era:
			s.mu.Unlock()
			return feed.Batch{}, feed.ErrRestored
		case from.Offset() < s.firstOffset:
			s.mu.Unlock()
			return feed.Batch{}, feed.ErrGone
		case !hang && from.Offset() < int64(len(s.items)):
			b := feed.Batch{Items: append([]feed.Item{}, s.items[from.Offset():]...), End: feed.NewPosition(s.era, int64(len(s.items)))}
			s.mu.Unlock()
			return b, nil
		}
		s.mu.Unlock()
		select {
		case <-added:
		case <-limit:
			return feed.Batch{End: from}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

func (s *fakeStore) Append(context.Context, string, feed.Item, feed.Position) (feed.Position, error) {
	return 0, nil
}

// sink records the newest value of each key.
type sink struct {
	mu     sync.Mutex
	values map[string]string
}

func (s *sink) Replace(items []feed.Item, end feed.Position) { s.Apply(items, end) }

func (s *sink) Apply(items []feed.Item, _ feed.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		s.values[i.Key] = string(i.Value)
	}
}

func (s *sink) value(key string) func() string {
	return func() string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.values[key]
	}
}

func startFollower(t *testing.T, s *fakeStore, opts ...feed.Option) (*feed.Follower, *sink) {
	t.Helper()
	out := &sink{values: map[string]string{}}
	return startFollowerWith(t, s, out, opts...), out
}

func startFollowerWith(t *testing.T, s *fakeStore, out feed.Sink, opts ...feed.Option) *feed.Follower {
	t.Helper()
	f := feed.NewFollower(s, "t", out, zerolog.Nop(), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("follower ended: %v", err)
		}
	})
	return f
}

// maxRecovery limits the time from the store's return until a follower is up to
// date again.
const maxRecovery = 2 * time.Second

// Guards against records that a follower misses: those appended before its start,
// while the store is unavailable, or in a part of the history that is no longer
// retained.
func TestFollow(t *testing.T) {
	tests := map[string]func(g Gomega, s *fakeStore, f *feed.Follower){
		"new record": func(_ Gomega, s *fakeStore, _ *feed.Follower) { s.add("k", "new") },
		"store unavailable for a while": func(g Gomega, s *fakeStore, f *feed.Follower) {
			s.update(func(s *fakeStore) { s.down = true })
			s.add("x", "ends the waiting read")
			g.Eventually(f.Online, time.Second).Should(BeFalse())
			s.add("k", "new")
			s.update(func(s *fakeStore) { s.down = false })
		},
		"history no longer retained": func(_ Gomega, s *fakeStore, _ *feed.Follower) {
			s.update(func(s *fakeStore) { s.hang = true })
			s.add("k", "new")
			s.update(func(s *fakeStore) { s.hang = false; s.firstOffset = 2 })
			s.add("y", "ends the waiting read")
		},
		"read hangs and a peer has newer records": func(_ Gomega, s *fakeStore, f *feed.Follower) {
			s.update(func(s *fakeStore) { s.hang = true })
			s.add("k", "new")
			time.Sleep(20 * time.Millisecond)
			s.update(func(s *fakeStore) { s.hang = false })
			f.Restart()
		},
		"store restored and the record is at an old offset": func(g Gomega, s *fakeStore, f *feed.Follower) {
			s.add("x", "lost")
			s.add("x", "lost too")
			g.Eventually(f.Position, time.Second).Should(Equal(feed.Position(3)))
			s.restore()
			s.add("k", "new")
		},
		"store restored and more is written than was lost": func(g Gomega, s *fakeStore, f *feed.Follower) {
			s.add("x", "lost")
			g.Eventually(f.Position, time.Second).Should(Equal(feed.Position(2)))
			s.restore()
			s.add("k", "new")
			s.add("x", "again")
			s.add("y", "later")
		},
		"store unresponsive after a read with records": func(_ Gomega, s *fakeStore, _ *feed.Follower) {
			s.add("x", "last reply")
			time.Sleep(100 * time.Millisecond)
			s.update(func(s *fakeStore) { s.unresponsive = true })
			time.Sleep(500 * time.Millisecond)
			s.update(func(s *fakeStore) { s.unresponsive = false })
			s.add("k", "new")
		},
		"store unresponsive after a failed read": func(g Gomega, s *fakeStore, f *feed.Follower) {
			s.update(func(s *fakeStore) { s.unresponsive = true })
			f.Restart()
			time.Sleep(500 * time.Millisecond)
			s.update(func(s *fakeStore) { s.unresponsive = false })
			s.add("k", "new")
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeStore()
			s.add("k", "old")
			f, out := startFollower(t, s)
			g.Eventually(out.value("k"), time.Second).Should(Equal("old"))
			tt(g, s, f)
			g.Eventually(out.value("k"), maxRecovery, 10*time.Millisecond).Should(Equal("new"))
			g.Eventually(f.Online, maxRecovery).Should(BeTrue())
		})
	}
}

// onlineSink records whether the follower counted as online when it passed items on.
type onlineSink struct {
	sink
	follower *feed.Follower
	offline  bool
}

func (s *onlineSink) Replace(items []feed.Item, end feed.Position) { s.Apply(items, end) }

func (s *onlineSink) Apply(items []feed.Item, end feed.Position) {
	s.offline = s.offline || !s.follower.Online()
	s.sink.Apply(items, end)
}

// Guards against a follower that counts as cut off from the store while the records that it
// has just read are already in force.
func TestOnlineBeforeItemsAreApplied(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.add("k", "old")
	out := &onlineSink{sink: sink{values: map[string]string{}}}
	out.follower = feed.NewFollower(s, "t", out, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- out.follower.Serve(ctx) }()
	g.Eventually(out.value("k"), time.Second).Should(Equal("old"))
	s.add("k", "new")
	g.Eventually(out.value("k"), time.Second).Should(Equal("new"))
	cancel()
	g.Expect(<-done).To(MatchError(context.Canceled))
	g.Expect(out.offline).To(BeFalse())
}

// Guards against a waiting read whose reply is lost and that never times out.
func TestWaitingReadIsLost(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.add("w", "old")
	_, out := startFollower(t, s, feed.WithReadWait(func() clock.Milli { return clock.Second }))
	g.Eventually(out.value("w"), time.Second).Should(Equal("old"))
	s.update(func(s *fakeStore) { s.hang = true })
	s.add("w", "new")
	time.Sleep(20 * time.Millisecond)
	s.update(func(s *fakeStore) { s.hang = false })
	g.Eventually(out.value("w"), maxRecovery, 10*time.Millisecond).Should(Equal("new"))
}

// Guards against a follower that polls the store continuously: each call has a
// cost.
func TestCallsAreFew(t *testing.T) {
	g := NewWithT(t)
	s := newFakeStore()
	s.add("k", "0")
	_, out := startFollower(t, s)
	g.Eventually(out.value("k"), time.Second).Should(Equal("0"))
	for range 20 {
		s.add("k", "1")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.reads).To(BeNumerically("<=", 12))
}
