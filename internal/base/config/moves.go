package config

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Moves holds the pace of moves. It must be the same in the whole fleet.
type Moves struct {
	// Ramp is how long a returned data centre takes to its full share.
	Ramp clock.Milli `toml:"ramp_ms"`
}

func defaultMoves() Moves {
	return Moves{Ramp: clock.Minute}
}

func (m *Moves) check(c *checker) {
	c.want(m.Ramp >= clock.Second && m.Ramp <= clock.Hour, "moves.ramp_ms", m.Ramp, "1000 to 3600000")
}
