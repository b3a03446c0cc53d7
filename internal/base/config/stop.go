package config

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Stop bounds a planned stop.
type Stop struct {
	// Notice is how long the entry still accepts callers after the daemon
	// reported that it is not ready any more.
	Notice clock.Milli `toml:"notice_ms"`
	// Timeout is how long a planned stop waits for calls in progress. What it
	// interrupts is logged.
	Timeout clock.Milli `toml:"timeout_ms"`
}

func defaultStop() Stop {
	return Stop{Notice: clock.Second, Timeout: 5 * clock.Minute}
}

func (s *Stop) check(c *checker) {
	c.want(s.Notice >= 0 && s.Notice <= clock.Minute, "stop.notice_ms", s.Notice, "0 to 60000")
	c.want(s.Timeout >= clock.Second && s.Timeout <= clock.Hour, "stop.timeout_ms", s.Timeout, "1000 to 3600000")
}
