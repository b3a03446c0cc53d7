package call

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// MaxDepth is the deepest chain of calls between services that is served.
const MaxDepth = 21

// Request describes a call without its body.
type Request struct {
	ID ID
	// ClientRequestID is the id that the caller gave the request, empty if there is none.
	ClientRequestID string
	Service         string
	Route           string
	Method          string
	Class           Class
	Repeatable      bool
	// Retried says that a level below already spent its retries on this call.
	Retried  bool
	Deadline clock.Milli
	Depth    int
	// Priority orders the calls that wait for an upstream; 0 is served first.
	Priority int
	// MaxAttempts is the largest number of upstreams that may run the call, zero
	// for the default.
	MaxAttempts int
	// SoftDeadline is the instant until which a response has its full value, zero if
	// none was set.
	SoftDeadline clock.Milli
	// MayQueue says that the call waits for the target, as no other one is left.
	// Otherwise a target that can't start it now refuses it.
	MayQueue bool
}

// Target is an upstream together with its daemon.
type Target struct {
	// ID is the peer address of the daemon.
	ID string
	// Incarnation is the daemon's start time in ms; it tells a restart from
	// a stale announcement.
	Incarnation    uint64
	Service        string
	Version        string
	Centre         string
	Region         string
	Slots          int
	MaxConnections int
	Leaving        bool
}

// UpstreamState is what a guard reports of its upstream.
type UpstreamState struct {
	Target      string
	Incarnation uint64
	// Epoch grows whenever the guard considers its upstream restarted.
	Epoch      uint64
	InProgress int
	Queued     int
	Limit      int
	Slots      int
	// Latency is the recent median service time at the upstream.
	Latency clock.Milli
	Cold    bool
	Leaving bool
	// Slowdown is how long work takes at the upstream's VM compared with usual;
	// zero means that the upstream does not tell.
	Slowdown float64
	// ReceivedAt is when the view was received, on the clock of the receiver.
	ReceivedAt clock.Milli
}

// RouteStats counts the finished calls of one route at an upstream since its start.
type RouteStats struct {
	Route  string
	Calls  uint64
	Failed uint64
	// TotalServiceTime is the total service time of the calls that did not fail.
	TotalServiceTime clock.Milli
}

// LoadReport is what an upstream reports of itself.
type LoadReport struct {
	InProgress int
	Queued     int
	Slots      int
	// Slowdown is how long work takes compared with usual, zero if not told.
	Slowdown float64
}

// Result is how one attempt ended, as the entry saw it.
type Result struct {
	// Class is that of the request. Only interactive calls tell how fast a
	// target is, as the others wait on purpose.
	Class   Class
	Outcome Outcome
	Reason  Reason
	// Failed says that the upstream answered with a server error or broke off.
	Failed  bool
	Latency clock.Milli
	State   *UpstreamState
}
