// Package budget accounts for the bytes and the CPU of control traffic by
// kind and limits them.
package budget

import (
	"expvar"
	"sync/atomic"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Kind is what control bytes and CPU are spent on.
type Kind int

// The kinds.
//
//go:generate ../../../bin/stringer -type Kind -linecomment
const (
	Probe    Kind = iota // probe
	Update               // update
	Sync                 // sync
	Seeds                // seeds
	Revision             // revision
	Evidence             // evidence
	Other                // other
	kinds
)

// Usage is what one kind used.
type Usage struct {
	Sent, Received, Packets int64
	CPU                     clock.Milli
}

type counter struct{ sent, received, packets, nanos atomic.Int64 }

// Meter counts and charges the limiter. It is safe for concurrent use.
type Meter struct {
	clk     clock.Clock
	limiter *Limiter
	kinds   [kinds]counter
	vars    *expvar.Map
}

// vars is shared by all meters of a process, as expvar is.
var vars = expvar.NewMap("control")

// NewMeter returns a meter that charges the limiter.
func NewMeter(clk clock.Clock, l *Limiter) *Meter {
	return &Meter{clk: clk, limiter: l, vars: vars}
}

// AddSent counts bytes on the wire, framing included.
func (m *Meter) AddSent(k Kind, bytes int) {
	m.kinds[k].sent.Add(int64(bytes))
	m.kinds[k].packets.Add(1)
	m.vars.Add(k.String()+"_bytes_sent", int64(bytes))
	m.limiter.Charge(m.clk.Now(), bytes, 0)
}

// AddReceived counts bytes on the wire, framing included.
func (m *Meter) AddReceived(k Kind, bytes int) {
	m.kinds[k].received.Add(int64(bytes))
	m.vars.Add(k.String()+"_bytes_received", int64(bytes))
	m.limiter.Charge(m.clk.Now(), bytes, 0)
}

// AddCPU counts the time since start as CPU, which is an upper bound: a
// process that waited for a CPU is charged for the wait.
func (m *Meter) AddCPU(k Kind, start time.Time) {
	d := time.Since(start)
	m.kinds[k].nanos.Add(int64(d))
	m.vars.Add(k.String()+"_cpu_us", d.Microseconds())
	m.limiter.Charge(m.clk.Now(), 0, clock.FromDuration(d))
}

// Usage returns what a kind used so far.
func (m *Meter) Usage(k Kind) Usage {
	c := &m.kinds[k]
	return Usage{
		Sent: c.sent.Load(), Received: c.received.Load(), Packets: c.packets.Load(),
		CPU: clock.FromDuration(time.Duration(c.nanos.Load())),
	}
}

// TotalUsage returns what all kinds used so far.
func (m *Meter) TotalUsage() Usage {
	var s Usage
	for k := range kinds {
		t := m.Usage(k)
		s.Sent += t.Sent
		s.Received += t.Received
		s.Packets += t.Packets
		s.CPU += t.CPU
	}
	return s
}
