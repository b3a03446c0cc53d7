package entry

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// maxTimeout is the longest timeout that a caller may request.
const maxTimeout = 10 * clock.Minute

// ParseRequest implements Protocol.
func (p nativeProtocol) ParseRequest(httpReq *http.Request, r *call.Request, now clock.Milli) call.Reason {
	r.Service = serviceName(httpReq)
	if r.Service == "" || httpReq.Method == http.MethodConnect || httpReq.Header.Get("Upgrade") != "" {
		return call.ReasonBadRequest
	}
	rule := p.config().RouteAt(r.Service, httpReq.Method, route.MatchPath(httpReq.URL), now)
	r.Route = rule.Name
	r.Class = rule.Class
	r.Repeatable = *rule.Repeatable
	timeout := rule.Timeout
	if v := httpReq.Header.Get(header.TimeoutMs); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms <= 0 || ms > float64(maxTimeout) {
			return call.ReasonBadRequest
		}
		timeout = clock.Milli(ms)
	}
	r.Deadline = now + timeout
	return parseChainHeaders(httpReq, r)
}

// MayRepeat implements Protocol.
func (p nativeProtocol) MayRepeat(httpReq *http.Request) bool {
	service := serviceName(httpReq)
	if service == "" {
		return false
	}
	rule := p.config().RouteAt(service, httpReq.Method, route.MatchPath(httpReq.URL), clock.FromTime(time.Now()))
	return *rule.Repeatable
}

// parseChainHeaders parses the headers that each service of a call chain copies
// to its own calls: class and depth.
func parseChainHeaders(httpReq *http.Request, r *call.Request) call.Reason {
	if v := httpReq.Header.Get(header.Class); v != "" {
		c, ok := call.ParseClass(v)
		if !ok {
			return call.ReasonBadRequest
		}
		r.Class = c
	}
	if v := httpReq.Header.Get(header.Depth); v != "" {
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

// serviceName returns the value of the service header, or else the first label of
// the host. It is empty if the host is an IP address.
func serviceName(httpReq *http.Request) string {
	if s := httpReq.Header.Get(header.Service); s != "" {
		return s
	}
	host := httpReq.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if net.ParseIP(host) != nil {
		return ""
	}
	name, _, _ := strings.Cut(host, ".")
	return name
}
