package config

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Limits bounds the resources that callers and peers can use.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a caller's request header.
	MaxHeaderBytes int `toml:"header_bytes"`
	// HeaderTimeout is the time within which a caller must send the whole
	// request header.
	HeaderTimeout clock.Milli `toml:"header_timeout_ms"`
	// IdleTimeout is the time after which an idle caller connection is closed.
	IdleTimeout clock.Milli `toml:"idle_timeout_ms"`
	// MaxCallers is the maximum number of concurrent connections to the entry.
	MaxCallers int `toml:"callers"`
	// MaxPeers is the maximum number of concurrent sessions on the peer port.
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

func (l *Limits) validate(c *checker) {
	c.require(l.MaxHeaderBytes >= 1<<10 && l.MaxHeaderBytes <= 1<<20, "limits.header_bytes", l.MaxHeaderBytes, "1024 to 1048576")
	c.require(l.HeaderTimeout >= 100 && l.HeaderTimeout <= clock.Minute, "limits.header_timeout_ms", l.HeaderTimeout, "100 to 60000")
	c.require(l.IdleTimeout >= clock.Second && l.IdleTimeout <= clock.Hour, "limits.idle_timeout_ms", l.IdleTimeout, "1000 to 3600000")
	c.require(l.MaxCallers >= 1 && l.MaxCallers <= 100000, "limits.callers", l.MaxCallers, "1 to 100000")
	c.require(l.MaxPeers >= 1 && l.MaxPeers <= 100000, "limits.peers", l.MaxPeers, "1 to 100000")
}
