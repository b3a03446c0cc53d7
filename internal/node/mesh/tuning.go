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
	controlWatch   = wire.ControlKind_CONTROL_KIND_WATCH
	controlOrders  = wire.ControlKind_CONTROL_KIND_ORDERS
	controlCrashes = wire.ControlKind_CONTROL_KIND_CRASHES
	controlUsage   = wire.ControlKind_CONTROL_KIND_USAGE

	// retryTokensPerCall is the number of retry tokens that a first attempt adds, up
	// to maxRetryTokens. It keeps the retries of all daemons below a fifth of the
	// calls.
	retryTokensPerCall = 0.1
	maxRetryTokens     = 3
	// retryReserveShare is the part of the retry reserve that entries may save up. The
	// rest is for retries of calls that upstreams repeat, which entries can't see.
	retryReserveShare = 0.5
	// errorRetryCost is the number of tokens that a retry after an upstream's error
	// takes. Such a retry makes the upstream repeat its own calls to other services,
	// which count there too.
	errorRetryCost = 2
	// maxTargetsPerCall limits how many targets one call is offered to.
	maxTargetsPerCall = 6

	// peerBatchDelay is the delay between reads of other daemons' records. Urgent
	// changes reach peers faster by synchronisation.
	peerBatchDelay = 2 * clock.Second

	// maxBufferedBodyBytes is the largest request body that is read completely
	// before the first attempt, so that a refused upload can be sent to another
	// target. maxInlineBodyBytes is the largest that is sent before the call is
	// admitted.
	maxBufferedBodyBytes = 512 << 10
	maxInlineBodyBytes   = 4 << 10

	// callersMemoryShare is the share of the VM's memory that callers and other daemons may
	// make the daemon hold. The rest is for the program, its state and what the garbage
	// collector has not collected.
	callersMemoryShare = 0.2

	// upstreamIdleTimeout is how long an idle connection to the upstream is kept.
	upstreamIdleTimeout = 4 * clock.Second

	// httpHeaderTimeout limits how long a client may take to send its header.
	httpHeaderTimeout = 10 * clock.Second
	// httpIdleTimeout is how long an idle connection of a client is kept. Callers
	// close theirs earlier, so no request is sent while the daemon closes one.
	httpIdleTimeout = 2 * clock.Minute
	// maxHTTPConnections and maxHTTPHeaderBytes apply to each HTTP server.
	maxHTTPConnections = 1500
	maxHTTPHeaderBytes = 64 << 10
)

func newPicker(r *rand.Rand) entry.Picker {
	return place.New(r)
}

func (n *Node) newRetrier() entry.Retrier {
	opts := []retry.Option{
		retry.WithTokensPerCall(retryTokensPerCall, maxRetryTokens), retry.WithFreeFailover(maxTargetsPerCall), retry.WithErrorCost(errorRetryCost),
	}
	if n.settings.RetryReserve > 0 {
		opts = append(opts, retry.WithSharedReserve(retryReserveShare*float64(n.settings.RetryReserve), func() int { return len(n.table.Records()) }))
	}
	return retry.New(opts...)
}
