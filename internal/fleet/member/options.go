package member

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Options are the core's settings.
type Options struct {
	Rand      *rand.Rand
	Allowance Allowance

	ProbeEvery     clock.Milli
	DirectTimeout  clock.Milli
	SuspectFor     clock.Milli
	GossipEvery    clock.Milli
	CompareEvery   clock.Milli
	TombstoneFor   clock.Milli
	UnreachedAfter clock.Milli
	JoinJitter     clock.Milli
	JoinBackoff    clock.Milli
	MaxJoinBackoff clock.Milli
	Helpers        int
	Relays         int
	Fanout         int
}

// Option changes one setting.
type Option func(*Options)

// WithRand sets the source of randomness.
func WithRand(r *rand.Rand) Option { return func(o *Options) { o.Rand = r } }

// WithAllowance sets the limiter of what is sent.
func WithAllowance(a Allowance) Option { return func(o *Options) { o.Allowance = a } }

type unlimited struct{}

func (unlimited) Allow(clock.Milli, int, Importance) bool { return true }

func defaults() Options {
	return Options{
		Rand:      rand.New(rand.NewPCG(1, 2)),
		Allowance: unlimited{},
		// One probe period, of which the first answer gets 300 ms: a round
		// trip inside a data centre takes under 1 ms, the rest is for VMs
		// that wait for a CPU.
		ProbeEvery:    clock.Second,
		DirectTimeout: 300,
		// Wait for a probe (up to 2 s), probe (1 s), suspicion and spreading
		// (2 s) must fit into the 10 s for a death.
		SuspectFor:   3 * clock.Second,
		GossipEvery:  100,
		CompareEvery: 30 * clock.Second,
		// A region that was cut off may still believe in a member that left;
		// a day is far longer than the cuts of an hour that occur.
		TombstoneFor:   24 * clock.Hour,
		UnreachedAfter: 15 * clock.Second,
		JoinJitter:     2 * clock.Second,
		JoinBackoff:    500,
		MaxJoinBackoff: 15 * clock.Second,
		Helpers:        3,
		Relays:         3,
		Fanout:         3,
	}
}
