package member

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Options holds the parameters of a core.
type Options struct {
	Rand        *rand.Rand
	SendLimiter SendLimiter

	// ProbeInterval is the time between two probes, and the time after which an
	// unanswered probe, including its retries, has failed.
	ProbeInterval clock.Milli
	// DirectProbeTimeout is the time after which a probe is repeated through
	// other members.
	DirectProbeTimeout clock.Milli
	// SuspicionTimeout is the time in which a suspect can refute the suspicion.
	SuspicionTimeout clock.Milli
	// GossipInterval is the time between gossip rounds while updates are queued.
	GossipInterval clock.Milli
	// SyncInterval is the mean time between table comparisons.
	SyncInterval clock.Milli
	// TombstoneTTL is how long a dead or departed member stays in the table.
	TombstoneTTL clock.Milli
	// UnreachableTimeout is the time without a reply after which a relay reports
	// a data centre as unreachable.
	UnreachableTimeout clock.Milli
	// JoinJitter is the maximum random delay before the first join request.
	JoinJitter clock.Milli
	// JoinBackoff is the initial delay between join requests; it doubles after
	// each failure up to MaxJoinBackoff.
	JoinBackoff    clock.Milli
	MaxJoinBackoff clock.Milli
	// IndirectProbes is the number of members that get a PingRequest for a
	// target that did not reply, in each retry.
	IndirectProbes int
	// RelayCount is the number of relays per data centre and per region.
	RelayCount int
	// Fanout is the number of local members that a gossip round sends to.
	Fanout int
}

// Option sets a parameter of a core in New.
type Option func(*Options)

// WithRand sets the random number generator. The default has a fixed seed.
func WithRand(r *rand.Rand) Option { return func(o *Options) { o.Rand = r } }

// WithSendLimiter sets the limiter of sent bytes. The default does not limit.
func WithSendLimiter(l SendLimiter) Option { return func(o *Options) { o.SendLimiter = l } }

type unlimited struct{}

func (unlimited) Allow(clock.Milli, int, Priority) bool { return true }

func defaultOptions() Options {
	return Options{
		Rand:        rand.New(rand.NewPCG(1, 2)),
		SendLimiter: unlimited{},
		// Of each probe interval, 300 ms are for the direct reply. A round trip
		// inside a data centre takes under 1 ms; the rest allows for VMs that
		// wait for a CPU.
		ProbeInterval:      clock.Second,
		DirectProbeTimeout: 300,
		// A death must be known everywhere within 10 s: waiting for a probe
		// takes up to 2 s, the probe 1 s, the suspicion 3 s and the gossip 2 s.
		SuspicionTimeout: 3 * clock.Second,
		GossipInterval:   100,
		SyncInterval:     30 * clock.Second,
		// A region that was partitioned may still list a departed member as
		// alive. Partitions last about an hour, far less than a day.
		TombstoneTTL:       24 * clock.Hour,
		UnreachableTimeout: 15 * clock.Second,
		JoinJitter:         2 * clock.Second,
		JoinBackoff:        500,
		MaxJoinBackoff:     15 * clock.Second,
		IndirectProbes:     3,
		RelayCount:         3,
		Fanout:             3,
	}
}
