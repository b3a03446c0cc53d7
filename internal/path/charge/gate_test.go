package charge_test

import (
	"context"
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
