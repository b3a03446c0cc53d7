package memory_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
)

// Guards against a budget that falls below zero, exceeds its bound or keeps bytes of
// accounts that are gone, whatever is taken, given and closed.
func TestBudgetKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := memory.New(limit)
		var open []*memory.Account
		now := clock.Milli(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 1500).Draw(t, "wait"))
			n := rapid.Int64Range(0, 400).Draw(t, "n")
			cause := memory.Cause(rapid.IntRange(0, int(memory.NumCauses)-1).Draw(t, "cause"))
			if len(open) == 0 || rapid.IntRange(0, 9).Draw(t, "open") == 0 {
				a := b.Open(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"))
				a.SetAwaitsRemote(now, rapid.Bool().Draw(t, "awaitsRemote"))
				open = append(open, a)
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "account")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if !b.Take(open[i], cause, n) {
					for _, victim := range b.Reclaim(now, open[i], cause, n, 0) {
						if victim.StalledFor(now) < clock.Second {
							t.Fatal("an account that progresses is closed")
						}
					}
				}
			case 2:
				b.Give(open[i], cause, n)
			case 3:
				open[i].Progress(now, int(n))
			case 4:
				b.Close(open[i])
				b.Close(open[i])
				open = append(open[:i:i], open[i+1:]...)
			}
			checkSums(t, b, open, limit)
		}
		for _, a := range open {
			b.Close(a)
		}
		checkSums(t, b, nil, limit)
	})
}

func checkSums(t *rapid.T, b *memory.Budget, open []*memory.Account, limit int64) {
	var held, byCause int64
	for _, a := range open {
		held += a.Held()
	}
	for c := range memory.NumCauses {
		if b.UsedFor(c) < 0 {
			t.Fatal("negative", c)
		}
		byCause += b.UsedFor(c)
	}
	if b.Used() != held || b.Used() != byCause || b.Used() < 0 || b.Used() > limit {
		t.Fatal("used", b.Used(), "held", held, "by cause", byCause)
	}
}

// Guards against a crowd that stalls and keeps the room from others, and against one that
// is closed although it progresses.
func TestStalledHoldersGiveWay(t *testing.T) {
	tests := map[string]struct {
		bytesPerSecond int
		awaitsRemote   bool
		closed         int
	}{
		"stalled": {0, true, 1}, "below the rate": {1 << 10, true, 1},
		"slow and steady": {20 << 10, true, 0}, "waits for its target": {0, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := memory.New(1000)
			crowd := make([]*memory.Account, 7)
			for i := range crowd {
				crowd[i] = b.Open(0, "crowd")
				crowd[i].SetAwaitsRemote(0, tt.awaitsRemote)
				g.Expect(b.Take(crowd[i], memory.Body, 100)).To(BeTrue())
			}
			for now := clock.Milli(100); now <= 4000; now += 100 {
				for _, a := range crowd {
					a.Progress(now, tt.bytesPerSecond/10)
				}
			}
			caller := b.Open(4000, "caller")
			g.Expect(b.Take(caller, memory.Body, 200)).To(BeFalse())
			g.Expect(b.Reclaim(4000, caller, memory.Body, 200, 0)).To(HaveLen(tt.closed))
			g.Expect(b.Take(caller, memory.Call, 200)).To(BeTrue(), "short calls have room")
		})
	}
}
