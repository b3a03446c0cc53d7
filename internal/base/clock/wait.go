package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx is done first.
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

// Every calls f at the interval d until ctx is done, then returns ctx.Err().
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
