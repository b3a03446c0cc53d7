package config

import "net/netip"

// Listen holds the addresses of the daemon and of its upstream, as IP:port.
type Listen struct {
	// Entry accepts callers over HTTP.
	Entry string `toml:"entry"`
	// Peer accepts other daemons over TCP and UDP. It is the member id.
	Peer string `toml:"peer"`
	// Admin serves the administration API, health and metrics.
	Admin string `toml:"admin"`
	// Upstream is where the daemon's upstream listens.
	Upstream string `toml:"upstream"`
}

func (l *Listen) check(c *checker) {
	const allowed = "an IP address and a port, such as 10.0.0.7:7000"
	for key, v := range map[string]string{
		"listen.entry":    l.Entry,
		"listen.peer":     l.Peer,
		"listen.admin":    l.Admin,
		"listen.upstream": l.Upstream,
	} {
		ap, err := netip.ParseAddrPort(v)
		c.want(err == nil && ap.Port() > 0 && !ap.Addr().IsUnspecified(), key, v, allowed)
	}
}
