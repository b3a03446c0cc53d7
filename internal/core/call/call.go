package call

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// MaxDepth is the longest chain of calls between services that is served.
const MaxDepth = 21

// SlowVMThreshold is the slowdown of a VM from which a call is better started later or on
// another target, as the slowdown at its start determines its duration.
const SlowVMThreshold = 1.8

// Request describes a call without its body.
type Request struct {
	ID ID
	// ClientRequestID is the id that the caller set on the request, empty if there is none.
	ClientRequestID string
	Service         string
	Route           string
	Method          string
	Class           Class
	Repeatable      bool
	// Retried reports that a daemon further down the chain of calls has already
	// used its retries on this call.
	Retried  bool
	Deadline clock.Milli
	Depth    int
	// Priority orders the calls that wait for an upstream; 0 is served first.
	Priority int
	// MaxAttempts is the maximum number of upstreams that may run the call; zero
	// means the default.
	MaxAttempts int
	// SoftDeadline is the instant until which a response has its full value for
	// the caller, zero if none was set.
	SoftDeadline clock.Milli
	// Caller is the name under which the upstream knows the caller, empty if there is none.
	Caller string
	// Workspace is the name of the workspace that the caller belongs to, empty if it is not
	// known or the deployment has none.
	Workspace string
	// Fingerprint identifies requests that are the same to an upstream, zero for none.
	Fingerprint uint64
	// MayQueue allows the target to queue the call, as no other target is left.
	// Without it, a target that can't start the call immediately refuses it.
	MayQueue bool
}

// Target is an upstream together with its daemon.
type Target struct {
	// ID is the peer address of the daemon.
	ID string
	// Incarnation is the daemon's start time in ms. It distinguishes a restarted
	// daemon from a stale announcement of its predecessor.
	Incarnation    uint64
	Service        string
	Version        string
	Centre         string
	Region         string
	Slots          int
	MaxConnections int
	Leaving        bool
}

// UpstreamState is the state of an upstream as reported by its guard.
type UpstreamState struct {
	Target      string
	Incarnation uint64
	// Epoch increases whenever the guard considers its upstream restarted.
	Epoch      uint64
	InProgress int
	Queued     int
	// Limit is the current maximum of InProgress, at most Slots.
	Limit int
	Slots int
	// Latency is the recent service time at the upstream: the median, or the mean
	// without the slowdown of its VM. Zero means that none was measured.
	Latency clock.Milli
	Cold    bool
	Leaving bool
	// Slowdown is the ratio of the current service time on the upstream's VM to
	// the baseline; zero means that the upstream does not report it.
	Slowdown float64
	// AdmitDelay is the time until the upstream's stated rate limit admits another call.
	// CallInterval is the mean time between calls that it admits, zero without a limit.
	AdmitDelay   clock.Milli
	CallInterval clock.Milli
	// ReceivedAt is when the state was received, on the clock of the receiver.
	ReceivedAt clock.Milli
}

// RouteStats counts the finished calls of one route at an upstream since its start.
type RouteStats struct {
	Route  string
	Calls  uint64
	Failed uint64
	// TotalServiceTime is the total service time of the calls that did not fail.
	TotalServiceTime clock.Milli
	// Answered has the service times of the calls that did not fail, without the slowdown
	// of the VM.
	Answered LatencyHistogram
	// CutOff has, for the calls that ended without a response at their deadline or because
	// the caller gave up, the time until then, without the slowdown of the VM. They are
	// counted neither in Calls nor in Failed.
	CutOff LatencyHistogram
	// Running has the ages of the calls in progress, without the slowdown of the VM.
	Running LatencyHistogram
}

// Since returns the calls that were counted after earlier, a state of the same counters, and
// those in progress.
func (s *RouteStats) Since(earlier *RouteStats) RouteStats {
	return RouteStats{
		Route: s.Route, Calls: s.Calls - earlier.Calls, Failed: s.Failed - earlier.Failed,
		TotalServiceTime: s.TotalServiceTime - earlier.TotalServiceTime,
		Answered:         s.Answered.Since(&earlier.Answered), CutOff: s.CutOff.Since(&earlier.CutOff), Running: s.Running,
	}
}

// LoadReport is the load that an upstream reports about itself.
type LoadReport struct {
	InProgress int
	Queued     int
	Slots      int
	// Slowdown is the ratio of the current service time to the baseline, zero if
	// not reported.
	Slowdown float64
}

// Result describes how one attempt ended, as observed by the entry.
type Result struct {
	// Class is the class of the request. Only interactive calls are used to measure
	// a target's latency, as the others may be delayed deliberately.
	Class   Class
	Outcome Outcome
	Reason  Reason
	// Failed reports that the upstream answered with a server error or closed the
	// connection before the response was complete.
	Failed  bool
	Latency clock.Milli
	// State is the upstream state that came with the response, nil if none did.
	State *UpstreamState
	// RetryIn is the time after which the target accepts another call, as it said in a
	// refusal; zero if it did not.
	RetryIn clock.Milli
}
