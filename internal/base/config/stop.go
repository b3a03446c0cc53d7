package config

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Stop holds the timing of a planned stop.
type Stop struct {
	// Notice is how long the entry keeps accepting callers after the daemon
	// has started to report that it is not ready.
	Notice clock.Milli `toml:"notice_ms"`
	// Timeout is how long a planned stop waits for calls in progress. Calls
	// that are interrupted when it expires are logged.
	Timeout clock.Milli `toml:"timeout_ms"`
}

func defaultStop() Stop {
	return Stop{Notice: clock.Second, Timeout: 5 * clock.Minute}
}

func (s *Stop) validate(c *checker) {
	c.require(s.Notice >= 0 && s.Notice <= clock.Minute, "stop.notice_ms", s.Notice, "0 to 60000")
	c.require(s.Timeout >= clock.Second && s.Timeout <= clock.Hour, "stop.timeout_ms", s.Timeout, "1000 to 3600000")
}
