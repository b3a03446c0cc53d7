// Package budget counts the bytes and the CPU time of control traffic by kind and
// limits them.
package budget

import (
	"expvar"
	"sync/atomic"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Kind is the kind of control traffic that bytes and CPU time are counted for.
type Kind int

// The kinds of control traffic. Their names are part of expvar names.
//
//go:generate ../../../bin/stringer -type Kind -linecomment
const (
	Probe     Kind = iota // probe
	Update                // update
	Sync                  // sync
	Seeds                 // seeds
	Revision              // revision
	Evidence              // evidence
	Other                 // other
	kindCount             // kinds
)

// Usage is the traffic in bytes, the number of sent packets and the CPU time in
// milliseconds of one kind or of all.
type Usage struct {
	Sent, Received, Packets int64
	CPU                     clock.Milli
}

type counter struct{ sent, received, packets, nanos atomic.Int64 }

// Meter counts control traffic by kind and charges it to a limiter. It is safe for
// concurrent use.
type Meter struct {
	clk      clock.Clock
	limiter  *Limiter
	counters [kindCount]counter
	expvars  *expvar.Map
}

// controlVars is shared by all meters, because expvar names are global to the
// process.
var controlVars = expvar.NewMap("control")

// NewMeter returns a meter that charges l and reads the time of each charge from clk.
func NewMeter(clk clock.Clock, l *Limiter) *Meter {
	return &Meter{clk: clk, limiter: l, expvars: controlVars}
}

// AddSent counts one sent packet with its bytes on the wire, including framing.
func (m *Meter) AddSent(k Kind, bytes int) {
	m.counters[k].sent.Add(int64(bytes))
	m.counters[k].packets.Add(1)
	m.expvars.Add(k.String()+"_bytes_sent", int64(bytes))
	m.limiter.Charge(m.clk.Now(), bytes, 0)
}

// AddReceived counts received bytes on the wire, including framing.
func (m *Meter) AddReceived(k Kind, bytes int) {
	m.counters[k].received.Add(int64(bytes))
	m.expvars.Add(k.String()+"_bytes_received", int64(bytes))
	m.limiter.Charge(m.clk.Now(), bytes, 0)
}

// AddCPU counts the time since start as CPU time. That is an upper bound, because it
// includes time in which the process waited for a CPU.
func (m *Meter) AddCPU(k Kind, start time.Time) {
	d := time.Since(start)
	m.counters[k].nanos.Add(int64(d))
	m.expvars.Add(k.String()+"_cpu_us", d.Microseconds())
	m.limiter.Charge(m.clk.Now(), 0, clock.FromDuration(d))
}

// Usage returns the usage of a kind since the meter was created.
func (m *Meter) Usage(k Kind) Usage {
	c := &m.counters[k]
	return Usage{
		Sent: c.sent.Load(), Received: c.received.Load(), Packets: c.packets.Load(),
		CPU: clock.FromDuration(time.Duration(c.nanos.Load())),
	}
}

// TotalUsage returns the usage of all kinds since the meter was created.
func (m *Meter) TotalUsage() Usage {
	var total Usage
	for k := range kindCount {
		usage := m.Usage(k)
		total.Sent += usage.Sent
		total.Received += usage.Received
		total.Packets += usage.Packets
		total.CPU += usage.CPU
	}
	return total
}
