package entry

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// maxTimeout bounds what a caller may ask for.
const maxTimeout = 10 * clock.Minute

// ParseRequest implements Protocol.
func (p ownProtocol) ParseRequest(hr *http.Request, r *call.Request, now clock.Milli) call.Reason {
	r.Service = serviceName(hr)
	if r.Service == "" || hr.Method == http.MethodConnect || hr.Header.Get("Upgrade") != "" {
		return call.ReasonBadRequest
	}
	route := p.config().RouteAt(r.Service, hr.Method, hr.URL.Path, now)
	r.Route = route.Name
	r.Class = route.Class
	r.Repeatable = *route.Repeatable
	timeout := route.Timeout
	if v := hr.Header.Get(header.TimeoutMs); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms <= 0 || ms > float64(maxTimeout) {
			return call.ReasonBadRequest
		}
		timeout = clock.Milli(ms)
	}
	r.Deadline = now + timeout
	return readChain(hr, r)
}

// readChain reads the headers that a service passes on from call to call.
func readChain(hr *http.Request, r *call.Request) call.Reason {
	if v := hr.Header.Get(header.Class); v != "" {
		c, ok := call.ParseClass(v)
		if !ok {
			return call.ReasonBadRequest
		}
		r.Class = c
	}
	if v := hr.Header.Get(header.Depth); v != "" {
		d, err := strconv.Atoi(v)
		if err != nil || d < 0 {
			return call.ReasonBadRequest
		}
		r.Depth = d
	}
	r.Depth++
	if r.Depth > call.MaxDepth {
		return call.ReasonTooDeep
	}
	return call.ReasonNone
}

// serviceName is the service header or the first label of the host.
func serviceName(hr *http.Request) string {
	if s := hr.Header.Get(header.Service); s != "" {
		return s
	}
	host := hr.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if net.ParseIP(host) != nil {
		return ""
	}
	name, _, _ := strings.Cut(host, ".")
	return name
}
