package charge_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
)

const limit = 800

// Guards against a call that is refused although a stalled one gives its room back, and
// against a call that waits without end.
func TestWaitForRoom(t *testing.T) {
	tests := map[string]struct {
		awaitsRemote bool
		granted      bool
	}{"holder has stalled": {true, true}, "holder waits for its target": {false, false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clk := clock.NewReal()
			gate := charge.New(limit, clk, zerolog.Nop())
			var holder *charge.Account
			holder = gate.Open("a", func() { holder.Close() })
			g.Expect(holder.TryTake(memory.Body, limit/2)).To(BeTrue())
			holder.Expect(0)
			holder.SetAwaitsRemote(tt.awaitsRemote)
			time.Sleep(1100 * time.Millisecond)
			caller := gate.Open("b", func() {})
			g.Expect(caller.Take(t.Context(), memory.Body, limit/2)).To(Equal(tt.granted))
			g.Expect(holder.Ended()).To(Equal(tt.granted))
			caller.Close()
			holder.Close()
			g.Expect(gate.Usage(memory.Body).Bytes).To(BeZero())
		})
	}
}

// Guards against small blocks of bodies that overtake a response for ever.
func TestResponseIsNotOvertaken(t *testing.T) {
	g := NewWithT(t)
	gate := charge.New(limit, clock.NewReal(), zerolog.Nop())
	holder := gate.Open("a", func() {})
	g.Expect(holder.TryTake(memory.Body, limit/2)).To(BeTrue())
	g.Expect(holder.TryTake(memory.Call, limit/2-20)).To(BeTrue())
	granted := make(chan bool, 1)
	response := gate.Open("b", func() {})
	go func() { granted <- response.Take(context.Background(), memory.Response, limit/16) }()
	time.Sleep(50 * time.Millisecond)
	body := gate.Open("c", func() {})
	holder.Give(memory.Call, limit/8)
	g.Expect(body.Take(t.Context(), memory.Body, 1)).To(BeFalse())
	holder.Give(memory.Body, limit/8)
	g.Expect(<-granted).To(BeTrue())
}

// Guards against waiters of different addresses that together want more than the share of one,
// and are therefore refused although others have stalled.
func TestWaitersAreNotOneAddress(t *testing.T) {
	g := NewWithT(t)
	gate := charge.New(limit, clock.NewReal(), zerolog.Nop())
	for i := range 6 {
		var holder *charge.Account
		holder = gate.Open(strconv.Itoa(i), func() { holder.Close() })
		g.Expect(holder.TryTake(memory.Body, limit/8)).To(BeTrue())
		holder.Expect(0)
	}
	time.Sleep(700 * time.Millisecond)
	granted := make(chan bool, 2)
	for address, n := range map[string]int64{"x": limit / 2, "y": limit * 3 / 8} {
		go func() { granted <- gate.Open(address, func() {}).Take(context.Background(), memory.Body, n) }()
	}
	g.Expect([]bool{<-granted, <-granted}).To(Equal([]bool{true, true}))
}

// Guards against an address with its whole share whose waiting response keeps the bodies of
// others from the room that is left for them.
func TestFullAddressHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	gate := charge.New(limit, clock.NewReal(), zerolog.Nop())
	g.Expect(gate.Open("full", func() {}).TryTake(memory.Body, limit*3/4)).To(BeTrue())
	refused := make(chan bool, 1)
	go func() { refused <- gate.Open("full", func() {}).Take(context.Background(), memory.Response, limit/16) }()
	time.Sleep(50 * time.Millisecond)
	g.Expect(gate.Open("other", func() {}).Take(t.Context(), memory.Body, limit/16)).To(BeTrue())
	g.Expect(<-refused).To(BeFalse())
}
