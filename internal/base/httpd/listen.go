package httpd

import (
	"net"

	"github.com/pkg/errors"
)

// ErrListen is returned if a listen address can't be opened.
var ErrListen = errors.New("listen failed")

// Address is a listen address. SetListener receives the listener opened on it.
type Address struct {
	Addr        string
	SetListener func(net.Listener)
}

// Listen opens a TCP listener on each address, in order. It returns ErrListen at
// the first that fails and leaves the previous ones open.
func Listen(addresses ...Address) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.Addr)
		if err != nil {
			return errors.Wrap(ErrListen, err.Error())
		}
		a.SetListener(l)
	}
	return nil
}
