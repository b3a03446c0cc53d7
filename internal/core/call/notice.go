package call

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Notice is what an upstream states in a response about the calls that it accepts.
type Notice struct {
	// Instance is the instance that responded, empty if it is not known.
	Instance string
	// Limited is set if the upstream states a rate limit. RateLimit is then the number
	// of calls per second that it accepts from all entries together.
	Limited   bool
	RateLimit float64
	// Leaving is set when the upstream is about to stop.
	Leaving bool
	// RequestedAt is when the request was sent.
	RequestedAt clock.Milli
}
