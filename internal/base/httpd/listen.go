package httpd

import (
	"net"

	"github.com/pkg/errors"
)

// ErrListen says that an address of the settings can't be used.
var ErrListen = errors.New("listen failed")

// Address is an address of a daemon. Set receives its listener.
type Address struct {
	Addr        string
	SetListener func(net.Listener)
}

// Listen opens all addresses. It stops at the first that can't be used.
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
