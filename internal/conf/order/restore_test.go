package order_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
)

func at(era, offset int64) feed.Position { return feed.NewPosition(era, offset) }

// Guards against what a restored store makes of directives that it had acknowledged: a later
// configuration that is ignored, an older one in force, and an evacuation or version move
// that ends, begins again or is lost.
func TestRestore(t *testing.T) {
	// before are the records in force when the store is restored to its first two.
	before := []feed.Item{
		record("config", "1", at(1, 0)), record("s", "to v2", at(1, 1)), record("config", "2", at(1, 2)),
		record("c1", "out", at(1, 3)), record("config", "3", at(1, 4)), record("s", "to v3", at(1, 5)),
	}
	copied := []feed.Item{record("config", "1", at(2, 0)), record("s", "to v2", at(2, 1))}
	tests := map[string]struct {
		after     func(reg *order.Registry, clk *clock.Manual)
		version   int64
		centreOut bool
		moveTo    string
		repeats   bool
	}{
		"nothing written again yet": {func(*order.Registry, *clock.Manual) {}, 3, true, "v3", false},
		"written again": {func(reg *order.Registry, _ *clock.Manual) {
			reg.Apply([]feed.Item{record("config", "3", at(2, 2)), record("s", "to v3", at(2, 3)), record("c1", "out", at(2, 4))}, at(2, 5))
		}, 3, true, "v3", true},
		"configuration at an offset that was given out before": {func(reg *order.Registry, _ *clock.Manual) {
			reg.Apply([]feed.Item{record("config", "4", at(2, 2))}, at(2, 3))
		}, 4, true, "v3", false},
		"taken back at an offset that was given out before": {func(reg *order.Registry, _ *clock.Manual) {
			reg.Apply([]feed.Item{record("c1", "out", at(2, 2)), record("c1", "", at(2, 3))}, at(2, 4))
		}, 3, false, "v3", false},
		"another move": {func(reg *order.Registry, _ *clock.Manual) {
			reg.Apply([]feed.Item{record("s", "to v4", at(2, 2))}, at(2, 3))
		}, 3, true, "v4", false},
		"read again before it has settled": {func(reg *order.Registry, _ *clock.Manual) {
			reg.Replace(copied, at(2, 2))
		}, 3, true, "v3", false},
		"read again after it has settled": {func(reg *order.Registry, clk *clock.Manual) {
			clk.Set(clk.Now() + feed.RestoreSettleTime)
			reg.Replace(copied, at(2, 2))
		}, 3, false, "v2", false},
		"late response of the earlier era": {func(reg *order.Registry, clk *clock.Manual) {
			clk.Set(clk.Now() + feed.RestoreSettleTime)
			reg.Replace(before[:2], at(1, 2))
		}, 3, true, "v3", false},
		"restored again": {func(reg *order.Registry, _ *clock.Manual) {
			reg.Apply([]feed.Item{record("config", "5", at(2, 2))}, at(2, 3))
			reg.Replace([]feed.Item{record("config", "1", at(3, 0))}, at(3, 1))
			reg.Apply([]feed.Item{record("config", "6", at(3, 1))}, at(3, 2))
		}, 6, true, "v3", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clk := clock.NewManual(5000)
			reg := order.NewRegistry(decode, clk, zerolog.Nop())
			reg.Apply(before, at(1, 6))
			reg.Replace(copied, at(2, 2))
			tt.after(reg, clk)
			active := reg.Current()
			g.Expect(active.Table.Version).To(Equal(tt.version))
			g.Expect(active.CentresOut["c1"]).To(Equal(tt.centreOut))
			g.Expect(active.Moves["s"].Version).To(Equal(tt.moveTo))
			g.Expect(active.Moves["s"].Repeats).To(Equal(tt.repeats))
		})
	}
}

// Guards against a daemon that starts after a restore, reads the copy and keeps or spreads
// what is older than the directives in force.
func TestDaemonStartsOnRestoredStore(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewManual(5000)
	running := order.NewRegistry(decode, clk, zerolog.Nop())
	started := order.NewRegistry(decode, clk, zerolog.Nop())
	running.Apply([]feed.Item{record("config", "1", at(1, 0)), record("config", "2", at(1, 1)), record("c1", "out", at(1, 2))}, at(1, 3))
	copied := []feed.Item{record("config", "1", at(2, 0))}
	running.Replace(copied, at(2, 1))
	started.Replace(copied, at(2, 1))
	g.Expect(started.Hash()).NotTo(Equal(running.Hash()))
	exchange := func() {
		records, _ := running.Records()
		others, _ := started.Records()
		started.Merge(records)
		running.Merge(others)
	}
	exchange()
	for name, reg := range map[string]*order.Registry{"running": running, "started": started} {
		g.Expect(reg.Current().Table.Version).To(Equal(int64(2)), name)
		g.Expect(reg.Current().CentresOut).To(HaveKey("c1"), name)
	}
	g.Expect(started.Hash()).To(Equal(running.Hash()))
	clk.Set(clk.Now() + feed.RestoreSettleTime)
	running.Replace(copied, at(2, 1))
	exchange()
	g.Expect(started.Current().CentresOut).To(BeEmpty())
	g.Expect(started.Hash()).To(Equal(running.Hash()))
}

// copiedStore is a store that was restored from a copy with a configuration only.
type copiedStore struct{}

func (copiedStore) Newest(context.Context, string) (feed.Batch, error) {
	return feed.Batch{Items: []feed.Item{record("config", "1", at(2, 0))}, End: at(2, 1)}, nil
}

func (copiedStore) Read(ctx context.Context, _ string, from feed.Position, wait clock.Milli) (feed.Batch, error) {
	if from.Era() < 2 {
		return feed.Batch{}, feed.ErrRestored
	}
	clock.Sleep(ctx, wait)
	return feed.Batch{End: from}, ctx.Err()
}

func (copiedStore) Append(context.Context, string, feed.Item, feed.Position) (feed.Position, error) {
	return 0, feed.ErrRefused
}

// Guards against an evacuation that a restored store has lost and that stays in force,
// because another daemon follows the store when it can be seen.
func TestLostEvacuationEndsAfterRestore(t *testing.T) {
	lost := []feed.Item{record("config", "1", at(1, 0)), record("c1", "out", at(1, 1))}
	tests := map[string]struct {
		prepare func(reg *order.Registry)
		start   feed.Position
	}{
		"daemon followed the store before": {func(reg *order.Registry) { reg.Apply(lost, at(1, 2)) }, at(1, 2)},
		"restore known from a peer, first read of the store": {func(reg *order.Registry) {
			reg.Apply(lost, at(1, 2))
			reg.ReplaceFromPeer(lost, at(2, 1))
		}, feed.PositionNone},
		"daemon started after the restore": {func(reg *order.Registry) {
			reg.Replace(lost[:1], at(2, 1))
			reg.Merge(lost)
		}, at(2, 1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			reg := order.NewRegistry(decode, clock.NewReal(), zerolog.Nop())
			tt.prepare(reg)
			g.Expect(reg.Current().CentresOut).To(HaveKey("c1"))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			f := feed.NewFollower(copiedStore{}, "t", reg, zerolog.Nop(), feed.WithStart(tt.start))
			go func() { done <- f.Serve(ctx) }()
			t.Cleanup(func() {
				cancel()
				g.Expect(<-done).To(MatchError(context.Canceled))
			})
			centresOut := func() map[string]bool { return reg.Current().CentresOut }
			g.Consistently(centresOut, feed.RestoreSettleTime.Duration()*3/4).Should(HaveKey("c1"))
			g.Eventually(centresOut, 2*time.Second).ShouldNot(HaveKey("c1"))
		})
	}
}
