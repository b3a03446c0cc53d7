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

// decode reads "7" as a table of version 7, "out" as a data centre and "to v2"
// as a version move.
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

func record(key, value string, offset int64) feed.Item {
	return feed.Item{Key: key, Value: []byte(value), Offset: offset, Removed: value == ""}
}

// Guards against a configuration that goes back, and against records that are
// stale, damaged or foreign and change what is in force.
func TestBook(t *testing.T) {
	tests := map[string]struct {
		do      func(b *order.Registry)
		version int64
		out     bool
		move    string
	}{
		"empty": {func(*order.Registry) {}, 0, false, ""},
		"newest": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "1", 0), record("config", "3", 1)}, 2)
		}, 3, false, ""},
		"older version later": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 0), record("config", "2", 1)}, 2)
		}, 3, false, ""},
		"damaged": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 0), record("config", "x", 1)}, 2)
		}, 3, false, ""},
		"stale whole read": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 4), record("c1", "out", 5)}, 6)
			b.Replace([]feed.Item{record("config", "1", 0)}, 3)
		}, 3, true, ""},
		"order taken back": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1), record("c1", "", 2)}, 3)
		}, 3, false, ""},
		"order missing from a newer whole read": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1)}, 2)
			b.Replace([]feed.Item{record("config", "3", 0)}, 3)
		}, 3, false, ""},
		"order repeated after it was taken back": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1), record("c1", "", 2)}, 3)
			b.Apply([]feed.Item{record("c1", "out", 1)}, 3)
		}, 3, false, ""},
		"configuration taken back": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("config", "3", 0), record("config", "", 1)}, 2)
		}, 3, false, ""},
		"move": {func(b *order.Registry) {
			b.Apply([]feed.Item{record("s", "to v2", 0), record("s", "to v3", 1)}, 2)
		}, 0, false, "v3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := order.NewRegistry(decode, clock.NewManual(5000), zerolog.Nop())
			tt.do(b)
			o := b.Current()
			if tt.version == 0 {
				g.Expect(o.Table).To(BeNil())
			} else {
				g.Expect(o.Table.Version).To(Equal(tt.version))
			}
			g.Expect(o.CentresOut["c1"]).To(Equal(tt.out))
			g.Expect(o.Moves["s"].Version).To(Equal(tt.move))
		})
	}
}

// Guards against a peer that can't pass on what it knows.
func TestRecords(t *testing.T) {
	g := NewWithT(t)
	a := order.NewRegistry(decode, clock.NewManual(0), zerolog.Nop())
	b := order.NewRegistry(decode, clock.NewManual(0), zerolog.Nop())
	a.Apply([]feed.Item{record("config", "3", 0), record("c1", "out", 1)}, 2)
	records, end := a.Records()
	b.Replace(records, end)
	g.Expect(b.Current().Table.Version).To(Equal(int64(3)))
	g.Expect(b.Current().CentresOut).To(HaveKey("c1"))
	g.Expect(b.NextOffset()).To(Equal(int64(2)))
}
