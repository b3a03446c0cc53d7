// Package header defines the names of the product's HTTP headers and converts
// headers between HTTP messages and frames.
package header

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Names of the headers of requests and responses.
const (
	Service   = "Cranberrytack-Service"
	TimeoutMs = "Cranberrytack-Timeout-Ms"
	Class     = "Cranberrytack-Class"
	Depth     = "Cranberrytack-Depth"
	Retried   = "Cranberrytack-Retried"
	RequestID = "Cranberrytack-Request-Id"
	Outcome   = "Cranberrytack-Outcome"
	Reason    = "Cranberrytack-Reason"
	Target    = "Cranberrytack-Target"
	Version   = "Cranberrytack-Version"
	// Epoch is the restart counter of an upstream that reports one.
	Epoch = "Cranberrytack-Epoch"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110) and are
// not forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Encode converts end-to-end headers to their wire form. It omits hop-by-hop
// headers, including those that a Connection header names.
func Encode(h http.Header) []*wire.Header {
	connectionHeaders := connectionHeaderNames(h.Values("Connection"))
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || connectionHeaders[name] {
			continue
		}
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

// RemoveHopByHop removes hop-by-hop headers, including those that a Connection header
// names. A protocol that sets headers of a request calls it first. Otherwise, Encode omits
// the new headers if the caller's Connection header names them.
func RemoveHopByHop(h http.Header) {
	for name := range connectionHeaderNames(h.Values("Connection")) {
		h.Del(name)
	}
	for name := range hopByHop {
		h.Del(name)
	}
}

// ConnectionNames reports whether a Connection header names any of the headers, which
// is not forwarded then. The names are canonical.
func ConnectionNames(h http.Header, names ...string) bool {
	connectionHeaders := connectionHeaderNames(h.Values("Connection"))
	return slices.ContainsFunc(names, func(name string) bool { return connectionHeaders[name] })
}

// Decode adds headers in wire form to h, except hop-by-hop headers.
func Decode(h http.Header, in []*wire.Header) {
	for _, f := range in {
		name := textproto.CanonicalMIMEHeaderKey(f.GetName())
		if !hopByHop[name] {
			h[name] = append(h[name], f.GetValues()...)
		}
	}
}

// connectionHeaderNames returns the canonical names in the values of a Connection
// header, nil if there are no values.
func connectionHeaderNames(values []string) map[string]bool {
	if len(values) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, v := range values {
		for _, name := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
