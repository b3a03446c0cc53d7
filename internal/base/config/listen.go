package config

import "net/netip"

// Listen holds the listen addresses of the daemon and of its upstream, as
// IP:port.
type Listen struct {
	// EntryAddr is the HTTP address for callers.
	EntryAddr string `toml:"entry"`
	// PeerAddr is the TCP and UDP address for other daemons. It also serves as
	// the daemon's member ID.
	PeerAddr string `toml:"peer"`
	// AdminAddr is the HTTP address of the administration API, the health
	// checks and the metrics.
	AdminAddr string `toml:"admin"`
	// UpstreamAddr is the HTTP address of the daemon's upstream.
	UpstreamAddr string `toml:"upstream"`
}

func (l *Listen) validate(c *checker) {
	const allowed = "an IP address and a port, such as 10.0.0.7:7000"
	for key, v := range map[string]string{
		"listen.entry":    l.EntryAddr,
		"listen.peer":     l.PeerAddr,
		"listen.admin":    l.AdminAddr,
		"listen.upstream": l.UpstreamAddr,
	} {
		ap, err := netip.ParseAddrPort(v)
		c.require(err == nil && ap.Port() > 0 && !ap.Addr().IsUnspecified(), key, v, allowed)
	}
}
