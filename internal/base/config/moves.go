package config

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Moves holds the timing of moves, which shift traffic between data centres.
// It must be the same on every daemon of the fleet.
type Moves struct {
	// Ramp is the time over which the traffic to a returned data centre grows
	// to its full share.
	Ramp clock.Milli `toml:"ramp_ms"`
}

func defaultMoves() Moves {
	return Moves{Ramp: clock.Minute}
}

func (m *Moves) validate(c *checker) {
	c.require(m.Ramp >= clock.Second && m.Ramp <= clock.Hour, "moves.ramp_ms", m.Ramp, "1000 to 3600000")
}
