package clock_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Guards against a sleep that outlasts its context, and against one that is cut
// short but reports that it completed.
func TestSleep(t *testing.T) {
	tests := map[string]struct {
		wait, timeout clock.Milli
		completed     bool
	}{
		"completed": {20, 10_000, true},
		"cancelled": {10_000, 20, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), tt.timeout.Duration())
			defer cancel()
			g.Expect(clock.Sleep(ctx, tt.wait)).To(Equal(tt.completed))
			g.Expect(time.Since(start)).To(And(BeNumerically(">=", 20*time.Millisecond), BeNumerically("<", 5*time.Second)))
		})
	}
}

// Guards against a loop that keeps running after its context is done.
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
