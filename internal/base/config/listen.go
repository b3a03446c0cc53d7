package config

import "net/netip"

// Listen holds the listen addresses of the daemon and of its upstream, as
// IP:port.
type Listen struct {
	// Entry is the HTTP address for callers.
	Entry string `toml:"entry"`
	// Peer is the TCP and UDP address for other daemons. It also serves as the
	// daemon's member ID.
	Peer string `toml:"peer"`
	// Admin is the HTTP address of the administration API, the health checks
	// and the metrics.
	Admin string `toml:"admin"`
	// Upstream is the HTTP address of the daemon's upstream.
	Upstream string `toml:"upstream"`
}

func (l *Listen) validate(c *checker) {
	const allowed = "an IP address and a port, such as 10.0.0.7:7000"
	for key, v := range map[string]string{
		"listen.entry":    l.Entry,
		"listen.peer":     l.Peer,
		"listen.admin":    l.Admin,
		"listen.upstream": l.Upstream,
	} {
		ap, err := netip.ParseAddrPort(v)
		c.require(err == nil && ap.Port() > 0 && !ap.Addr().IsUnspecified(), key, v, allowed)
	}
}
