package order_test

import (
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
)

// decode decodes "7" as a route table of version 7, "out" as a data centre that
// is out of service and "to v2" as a version move.
func decode(key string, value []byte) (order.Directive, error) {
	text := string(value)
	if v, ok := strings.CutPrefix(text, "to "); ok {
		return order.Directive{Move: &order.Move{Service: key, Version: v}}, nil
	}
	if text == "out" {
		return order.Directive{CentreOut: key}, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return order.Directive{}, errors.Wrap(err, "unreadable")
	}
	return order.Directive{Table: &route.Table{Version: int64(n)}}, nil
}

// record returns an item that sets the key or, if value is empty, deletes it.
func record(key, value string, position feed.Position) feed.Item {
	return feed.Item{Key: key, Value: []byte(value), Position: position, Removed: value == ""}
}

// Guards against a configuration that returns to an older version, and against
// stale or undecodable records that change the directives in force.
func TestRegistry(t *testing.T) {
	tests := map[string]struct {
		apply     func(reg *order.Registry)
		version   int64
		centreOut bool
		moveTo    string
	}{
		"empty": {func(*order.Registry) {}, 0, false, ""},
		"newest": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "1", 0), record("config", "3", 1)}, 2)
		}, 3, false, ""},
		"older version later": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 0), record("config", "2", 1)}, 2)
		}, 3, false, ""},
		"undecodable value": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 0), record("config", "x", 1)}, 2)
		}, 3, false, ""},
		"stale full read": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 4), record("c1", "out", 5)}, 6)
			reg.Replace([]feed.Item{record("config", "1", 0)}, 3)
		}, 3, true, ""},
		"directive removed": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1), record("c1", "", 2)}, 3)
		}, 3, false, ""},
		"directive missing from a newer full read": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1)}, 2)
			reg.Replace([]feed.Item{record("config", "3", 0)}, 3)
		}, 3, false, ""},
		"directive repeated after its removal": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1), record("c1", "", 2)}, 3)
			reg.Apply([]feed.Item{record("c1", "out", 1)}, 3)
		}, 3, false, ""},
		"configuration removed": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("config", "3", 0), record("config", "", 1)}, 2)
		}, 3, false, ""},
		"move": {func(reg *order.Registry) {
			reg.Apply([]feed.Item{record("s", "to v2", 0), record("s", "to v3", 1)}, 2)
		}, 0, false, "v3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reg := order.NewRegistry(decode, clock.NewManual(5000), zerolog.Nop())
			tt.apply(reg)
			active := reg.Current()
			if tt.version == 0 {
				g.Expect(active.Table).To(BeNil())
			} else {
				g.Expect(active.Table.Version).To(Equal(tt.version))
			}
			g.Expect(active.CentresOut["c1"]).To(Equal(tt.centreOut))
			g.Expect(active.Moves["s"].Version).To(Equal(tt.moveTo))
		})
	}
}

// Guards against a registry whose records don't reproduce its state in a peer.
func TestRecords(t *testing.T) {
	g := NewWithT(t)
	source := order.NewRegistry(decode, clock.NewManual(0), zerolog.Nop())
	peer := order.NewRegistry(decode, clock.NewManual(0), zerolog.Nop())
	source.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1)}, 2)
	records, end := source.Records()
	peer.Replace(records, end)
	g.Expect(peer.Current().Table.Version).To(Equal(int64(3)))
	g.Expect(peer.Current().CentresOut).To(HaveKey("c1"))
	g.Expect(peer.End()).To(Equal(feed.Position(2)))
}
