package mesh

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/place"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	controlShare   = wire.ControlKind_CONTROL_KIND_SHARE
	controlTallies = wire.ControlKind_CONTROL_KIND_TALLIES

	// retryShare is what a first attempt earns of a further one, and retryMost
	// what is saved up. All daemons together stay below a fifth of the calls.
	retryShare = 0.1
	retryMost  = 3
	// errorCost is what a retry after an upstream's error takes: the upstream
	// makes its calls to other services again, and those count there.
	errorCost = 2
	// tries bounds the targets that one call is offered to.
	tries = 6

	// memberBatchPause is the pause between reads of other daemons' records. What is
	// urgent in them, peers tell each other.
	memberBatchPause = 2 * clock.Second

	// heldBytes is the largest body that is read whole before the first
	// attempt, so that a refused upload can go elsewhere. inlineBytes is the
	// largest that travels before the call was admitted.
	heldBytes   = 512 << 10
	inlineBytes = 4 << 10

	// upstreamIdle is how long a connection to the upstream is kept without a
	// request.
	upstreamIdle = 4 * clock.Second

	// callerHeaderTimeout bounds how long a caller may take to send its header.
	callerHeaderTimeout = 10 * clock.Second
	// callerIdle is how long a caller's connection is kept without a request.
	// It is longer than callers keep theirs, so that none crosses the close.
	callerIdle = 2 * clock.Minute
	// callerConnections and callerHeaderBytes bound what callers use.
	callerConnections = 1500
	callerHeaderBytes = 64 << 10
)

func newPicker(r *rand.Rand) entry.Picker {
	return place.New(r)
}

func newRetrier() entry.Retrier {
	return retry.New(retry.WithTokensPerCall(retryShare, retryMost), retry.WithFreeFailover(tries), retry.WithErrorCost(errorCost))
}
