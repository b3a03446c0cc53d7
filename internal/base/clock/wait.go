package clock

import (
	"context"
	"time"
)

// Sleep waits. It reports false if ctx ended before.
func Sleep(ctx context.Context, d Milli) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f at an interval until ctx ends, and returns ctx's error.
func Every(ctx context.Context, d Milli, f func()) error {
	t := time.NewTicker(d.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			f()
		}
	}
}
