package config

import "regexp"

const (
	defaultSlots          = 6
	defaultMaxConnections = 220
	maxConcurrency        = 10000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// Node identifies the daemon's upstream, its location and its capacity.
type Node struct {
	Fleet   string `toml:"fleet"`
	Service string `toml:"service"`
	Version string `toml:"version"`
	Centre  string `toml:"centre"`
	Region  string `toml:"region"`
	// Slots is the number of calls that the upstream can run concurrently.
	Slots int `toml:"slots"`
	// Connections is the maximum number of connections to the upstream.
	Connections int `toml:"connections"`
}

func defaultNode() Node {
	return Node{Version: "1", Region: "default", Slots: defaultSlots, Connections: defaultMaxConnections}
}

func (n *Node) validate(c *checker) {
	const allowed = "1 to 63 lower-case letters, digits, '_', '.' or '-'"
	names := map[string]string{
		"node.fleet":   n.Fleet,
		"node.service": n.Service,
		"node.version": n.Version,
		"node.centre":  n.Centre,
		"node.region":  n.Region,
	}
	for key, v := range names {
		c.require(namePattern.MatchString(v), key, v, allowed)
	}
	c.require(n.Slots >= 1 && n.Slots <= maxConcurrency, "node.slots", n.Slots, "1 to 10000")
	c.require(n.Connections >= n.Slots && n.Connections <= maxConcurrency, "node.connections", n.Connections, "node.slots to 10000")
}
