package member

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Options are the core's settings.
type Options struct {
	Rand        *rand.Rand
	SendLimiter SendLimiter

	ProbeInterval      clock.Milli
	DirectProbeTimeout clock.Milli
	SuspicionTimeout   clock.Milli
	GossipInterval     clock.Milli
	SyncInterval       clock.Milli
	TombstoneTTL       clock.Milli
	UnreachableTimeout clock.Milli
	JoinJitter         clock.Milli
	JoinBackoff        clock.Milli
	MaxJoinBackoff     clock.Milli
	IndirectProbes     int
	RelayCount         int
	Fanout             int
}

// Option changes one setting.
type Option func(*Options)

// WithRand sets the source of randomness.
func WithRand(r *rand.Rand) Option { return func(o *Options) { o.Rand = r } }

// WithSendLimiter sets the limiter of what is sent.
func WithSendLimiter(a SendLimiter) Option { return func(o *Options) { o.SendLimiter = a } }

type unlimited struct{}

func (unlimited) Allow(clock.Milli, int, Priority) bool { return true }

func defaults() Options {
	return Options{
		Rand:        rand.New(rand.NewPCG(1, 2)),
		SendLimiter: unlimited{},
		// One probe period, of which the first answer gets 300 ms: a round
		// trip inside a data centre takes under 1 ms, the rest is for VMs
		// that wait for a CPU.
		ProbeInterval:      clock.Second,
		DirectProbeTimeout: 300,
		// Wait for a probe (up to 2 s), probe (1 s), suspicion and spreading
		// (2 s) must fit into the 10 s for a death.
		SuspicionTimeout: 3 * clock.Second,
		GossipInterval:   100,
		SyncInterval:     30 * clock.Second,
		// A region that was cut off may still believe in a member that left;
		// a day is far longer than the cuts of an hour that occur.
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
