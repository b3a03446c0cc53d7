package centre

import (
	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// MaxOutDelay is how long after the start of an exception new work may still reach
// the data centre. It is the bound of the invariant centre_out.
const MaxOutDelay = 3 * clock.Second

// Gate decides for each call whether a data centre may take new work. It is immutable,
// safe for concurrent use, and its methods don't allocate unless an assertion fails.
type Gate struct {
	outPeriods   []outPeriod
	shedShares   map[string]float64
	rampDuration clock.Milli
	initialShare float64
}

// outPeriod is a period in which an exception keeps a data centre out. A zero end means
// that it is open.
type outPeriod struct {
	centre       string
	exception    string
	start        clock.Milli
	end          clock.Milli
	inForceSince clock.Milli
}

// Share returns the share, in 0..1, of its usual new work that a data centre may take.
func (g *Gate) Share(now clock.Milli, centre string) float64 {
	share := 1.0
	for i := range g.outPeriods {
		if period := &g.outPeriods[i]; period.centre == centre {
			share = min(share, g.shareDuring(period, now))
		}
	}
	return share
}

// shareDuring returns the share that one period allows at now.
func (g *Gate) shareDuring(period *outPeriod, now clock.Milli) float64 {
	switch {
	case now < period.start:
		return 1
	case period.end == 0 || now < period.end:
		return 0
	case g.rampDuration <= 0 || now >= period.end+g.rampDuration:
		return 1
	default:
		return g.initialShare + (1-g.initialShare)*float64((now-period.end)/g.rampDuration)
	}
}

// Allow reports whether a request may go to the data centre. While the data centre
// returns, the answer for a given share depends on the id only, so retries get the
// same one.
func (g *Gate) Allow(now clock.Milli, centre string, id call.ID) bool {
	share := g.Share(now, centre)
	return share >= 1 || (share > 0 && hashFraction(id) < share)
}

// CentreOutException returns the id of the exception that keeps a data centre out
// at now, if any.
func (g *Gate) CentreOutException(now clock.Milli, centre string) (exception string, out bool) {
	for i := range g.outPeriods {
		if period := &g.outPeriods[i]; period.centre == centre && g.shareDuring(period, now) == 0 {
			return period.exception, true
		}
	}
	return "", false
}

// AllowBackground reports whether a background request of the service may run. Some
// may not while the remaining data centres lack capacity.
func (g *Gate) AllowBackground(service string, id call.ID) bool {
	shed := g.shedShares[service]
	return shed <= 0 || hashFraction(id) >= shed
}

// AssertDispatch asserts the invariant centre_out and reports whether it holds. Guards
// call it when they dispatch a request to their upstream.
func (g *Gate) AssertDispatch(now clock.Milli, centre string) bool {
	for i := range g.outPeriods {
		period := &g.outPeriods[i]
		if period.centre != centre || g.shareDuring(period, now) > 0 {
			continue
		}
		// Calls assert.That only on a violation, as its arguments allocate.
		if since := now - max(period.start, period.inForceSince); since > MaxOutDelay {
			return assert.That(false, assert.CentreOut, "work started in data centre %s %.0f ms after exception %s took effect", centre, float64(since), period.exception)
		}
	}
	return true
}

// hashFraction maps an id evenly to 0..1.
func hashFraction(id call.ID) float64 {
	return float64(xxhash.Sum64(id[:])>>11) / (1 << 53)
}
