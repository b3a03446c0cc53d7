// Package header names the HTTP headers of the system and copies headers
// between HTTP and frames.
package header

import (
	"net/http"
	"net/textproto"
	"strings"

	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Headers of requests and responses.
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
	// Epoch is set by upstreams that report when they started.
	Epoch = "Cranberrytack-Epoch"
)

// hopByHop lists the headers that RFC 9110 keeps on one connection.
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

// Encode converts end-to-end headers to frames.
func Encode(h http.Header) []*wire.Header {
	drop := named(h.Values("Connection"))
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || drop[name] {
			continue
		}
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

// Decode adds the headers of frames to h.
func Decode(h http.Header, in []*wire.Header) {
	for _, f := range in {
		name := textproto.CanonicalMIMEHeaderKey(f.GetName())
		if !hopByHop[name] {
			h[name] = append(h[name], f.GetValues()...)
		}
	}
}

// named returns the headers that a Connection header names.
func named(values []string) map[string]bool {
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
