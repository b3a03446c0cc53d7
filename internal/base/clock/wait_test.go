package clock_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Guards against a wait that outlasts its context, or one that ends early and
// says that it did not.
func TestSleep(t *testing.T) {
	tests := map[string]struct {
		wait, ends clock.Milli
		whole      bool
	}{
		"whole":   {20, 10_000, true},
		"cut off": {10_000, 20, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), tt.ends.Duration())
			defer cancel()
			began := time.Now()
			g.Expect(clock.Sleep(ctx, tt.wait)).To(Equal(tt.whole))
			g.Expect(time.Since(began)).To(And(BeNumerically(">=", 20*time.Millisecond), BeNumerically("<", 5*time.Second)))
		})
	}
}

// Guards against a loop that goes on after the end of its context.
func TestEvery(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	err := clock.Every(ctx, clock.Millisecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(calls).To(BeNumerically(">=", 3))
}
