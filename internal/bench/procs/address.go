package procs

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeLoopbackIP returns a random IPv4 loopback address that is unlikely to be in
// use. Outgoing connections and other tests use ports of 127.0.0.1, so a port that
// is free there may be taken before a newly started program listens on it.
func FreeLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
}

// FreeAddr returns a loopback address and port on which a program can listen. The
// port was free when it was checked.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(FreeLoopbackIP(), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
