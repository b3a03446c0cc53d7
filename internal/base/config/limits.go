package config

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Limits bound what one caller or peer can use.
type Limits struct {
	// HeaderBytes is the largest request header of a caller.
	MaxHeaderBytes int `toml:"header_bytes"`
	// HeaderTimeout is how long a caller may take to send its header.
	HeaderTimeout clock.Milli `toml:"header_timeout_ms"`
	// IdleTimeout closes connections of callers without requests.
	IdleTimeout clock.Milli `toml:"idle_timeout_ms"`
	// Callers is the number of connections that the entry accepts.
	MaxCallers int `toml:"callers"`
	// Peers is the number of sessions that the peer port accepts.
	MaxPeers int `toml:"peers"`
}

func defaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: 32 << 10,
		HeaderTimeout:  5 * clock.Second,
		IdleTimeout:    2 * clock.Minute,
		MaxCallers:     2000,
		MaxPeers:       4096,
	}
}

func (l *Limits) check(c *checker) {
	c.want(l.MaxHeaderBytes >= 1<<10 && l.MaxHeaderBytes <= 1<<20, "limits.header_bytes", l.MaxHeaderBytes, "1024 to 1048576")
	c.want(l.HeaderTimeout >= 100 && l.HeaderTimeout <= clock.Minute, "limits.header_timeout_ms", l.HeaderTimeout, "100 to 60000")
	c.want(l.IdleTimeout >= clock.Second && l.IdleTimeout <= clock.Hour, "limits.idle_timeout_ms", l.IdleTimeout, "1000 to 3600000")
	c.want(l.MaxCallers >= 1 && l.MaxCallers <= 100000, "limits.callers", l.MaxCallers, "1 to 100000")
	c.want(l.MaxPeers >= 1 && l.MaxPeers <= 100000, "limits.peers", l.MaxPeers, "1 to 100000")
}
