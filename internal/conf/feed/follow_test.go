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

// topic is a store with one topic and faults that tests switch.
type topic struct {
	mu    sync.Mutex
	items []feed.Item
	first int64
	down  bool
	hang  bool
	// silent loses each call that arrives meanwhile for good.
	silent bool
	reads  int
	wait   chan struct{}
}

func newTopic() *topic { return &topic{wait: make(chan struct{})} }

func (s *topic) add(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, feed.Item{Key: key, Value: []byte(value), Offset: int64(len(s.items))})
	close(s.wait)
	s.wait = make(chan struct{})
}

func (s *topic) set(f func(*topic)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// lost waits for the end of a call that the store will never answer.
func (s *topic) lost(ctx context.Context) error {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *topic) Newest(ctx context.Context, _ string) (feed.Batch, error) {
	if err := s.lost(ctx); err != nil {
		return feed.Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return feed.Batch{}, feed.ErrUnavailable
	}
	newest := map[string]feed.Item{}
	for _, i := range s.items {
		newest[i.Key] = i
	}
	b := feed.Batch{NextOffset: int64(len(s.items))}
	for _, i := range newest {
		b.Items = append(b.Items, i)
	}
	return b, nil
}

func (s *topic) Read(ctx context.Context, _ string, from int64, wait clock.Milli) (feed.Batch, error) {
	if err := s.lost(ctx); err != nil {
		return feed.Batch{}, err
	}
	limit := time.After(wait.Duration())
	for {
		s.mu.Lock()
		s.reads++
		added, hang := s.wait, s.hang
		switch {
		case s.down:
			s.mu.Unlock()
			return feed.Batch{}, feed.ErrUnavailable
		case from < s.first:
			s.mu.Unlock()
			return feed.Batch{}, feed.ErrGone
		case !hang && from < int64(len(s.items)):
			b := feed.Batch{Items: append([]feed.Item{}, s.items[from:]...), NextOffset: int64(len(s.items))}
			s.mu.Unlock()
			return b, nil
		}
		s.mu.Unlock()
		select {
		case <-added:
		case <-limit:
			return feed.Batch{NextOffset: from}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

func (s *topic) Append(context.Context, string, feed.Item, int64) (int64, error) { return 0, nil }

// sink collects the newest values.
type sink struct {
	mu     sync.Mutex
	values map[string]string
}

func (s *sink) Replace(items []feed.Item, end int64) { s.Apply(items, end) }

func (s *sink) Apply(items []feed.Item, _ int64) {
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

func follow(t *testing.T, s *topic, opts ...feed.Option) (*feed.Follower, *sink) {
	t.Helper()
	out := &sink{values: map[string]string{}}
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
	return f, out
}

// backWithin is how soon a follower must be back after the store.
const backWithin = 2 * time.Second

// Guards against records that a follower misses: those before its start, those
// that come while the store is away, and those of a history that was dropped.
func TestFollow(t *testing.T) {
	tests := map[string]func(g Gomega, s *topic, f *feed.Follower){
		"new record": func(_ Gomega, s *topic, _ *feed.Follower) { s.add("k", "new") },
		"store away for a while": func(g Gomega, s *topic, f *feed.Follower) {
			s.set(func(s *topic) { s.down = true })
			s.add("x", "wakes the read")
			g.Eventually(f.Online, time.Second).Should(BeFalse())
			s.add("k", "new")
			s.set(func(s *topic) { s.down = false })
		},
		"history dropped": func(_ Gomega, s *topic, _ *feed.Follower) {
			s.set(func(s *topic) { s.hang = true })
			s.add("k", "new")
			s.set(func(s *topic) { s.hang = false; s.first = 2 })
			s.add("y", "wakes the read")
		},
		"read hangs and a peer knows more": func(_ Gomega, s *topic, f *feed.Follower) {
			s.set(func(s *topic) { s.hang = true })
			s.add("k", "new")
			time.Sleep(20 * time.Millisecond)
			s.set(func(s *topic) { s.hang = false })
			f.Restart()
		},
		"store silent after records came": func(_ Gomega, s *topic, _ *feed.Follower) {
			s.add("x", "last answer")
			time.Sleep(100 * time.Millisecond)
			s.set(func(s *topic) { s.silent = true })
			time.Sleep(500 * time.Millisecond)
			s.set(func(s *topic) { s.silent = false })
			s.add("k", "new")
		},
		"store silent after a read failed": func(g Gomega, s *topic, f *feed.Follower) {
			s.set(func(s *topic) { s.silent = true })
			f.Restart()
			time.Sleep(500 * time.Millisecond)
			s.set(func(s *topic) { s.silent = false })
			s.add("k", "new")
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTopic()
			s.add("k", "old")
			f, out := follow(t, s)
			g.Eventually(out.value("k"), time.Second).Should(Equal("old"))
			tt(g, s, f)
			g.Eventually(out.value("k"), backWithin, 10*time.Millisecond).Should(Equal("new"))
			g.Eventually(f.Online, backWithin).Should(BeTrue())
		})
	}
}

// Guards against a waiting read whose answer was lost, and which nothing ends.
func TestWaitingReadIsLost(t *testing.T) {
	g := NewWithT(t)
	s := newTopic()
	s.add("w", "old")
	_, out := follow(t, s, feed.WithReadWait(func() clock.Milli { return clock.Second }))
	g.Eventually(out.value("w"), time.Second).Should(Equal("old"))
	s.set(func(s *topic) { s.hang = true })
	s.add("w", "new")
	time.Sleep(20 * time.Millisecond)
	s.set(func(s *topic) { s.hang = false })
	g.Eventually(out.value("w"), backWithin, 10*time.Millisecond).Should(Equal("new"))
}

// Guards against a follower that asks the store all the time: each call has a
// price.
func TestCallsAreFew(t *testing.T) {
	g := NewWithT(t)
	s := newTopic()
	s.add("k", "0")
	_, out := follow(t, s)
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
