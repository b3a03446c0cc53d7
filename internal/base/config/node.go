package config

import "regexp"

const (
	defaultSlots       = 6
	defaultConnections = 220
	maxSlots           = 10000
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// Node says what the daemon's upstream is and where it runs.
type Node struct {
	Fleet   string `toml:"fleet"`
	Service string `toml:"service"`
	Version string `toml:"version"`
	Centre  string `toml:"centre"`
	Region  string `toml:"region"`
	// Slots is the number of calls that the upstream can run at once.
	Slots int `toml:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int `toml:"connections"`
}

func defaultNode() Node {
	return Node{Version: "1", Region: "default", Slots: defaultSlots, Connections: defaultConnections}
}

func (n *Node) check(c *checker) {
	const allowed = "1 to 63 lower-case letters, digits, '_', '.' or '-'"
	names := map[string]string{
		"node.fleet":   n.Fleet,
		"node.service": n.Service,
		"node.version": n.Version,
		"node.centre":  n.Centre,
		"node.region":  n.Region,
	}
	for key, v := range names {
		c.want(nameForm.MatchString(v), key, v, allowed)
	}
	c.want(n.Slots >= 1 && n.Slots <= maxSlots, "node.slots", n.Slots, "1 to 10000")
	c.want(n.Connections >= n.Slots && n.Connections <= maxSlots, "node.connections", n.Connections, "node.slots to 10000")
}
