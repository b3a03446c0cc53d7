package procs

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeLoopbackIP returns an IP address of this machine that hardly any other process
// uses. Connections go out from 127.0.0.1 and other tests listen there, so no
// port of it is taken before a program that is started listens.
func FreeLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
}

// FreeAddr returns an address that a program can listen on.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(FreeLoopbackIP(), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
