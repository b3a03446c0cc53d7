package centre

import (
	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// MaxOutDelay is the time after which no new work reaches a data centre that
// is out. It is the bound of the invariant centre_out.
const MaxOutDelay = 3 * clock.Second

// Gate answers on the path of a call whether a data centre may take new
// work. It is immutable and allocates nothing.
type Gate struct {
	spans []span
	shed  map[string]float64
	ramp  clock.Milli
	first float64
}

// span is a time in which an exception keeps a data centre out. Until is
// zero while no end is known.
type span struct {
	centre    string
	exception string
	from      clock.Milli
	until     clock.Milli
	known     clock.Milli
}

// Share returns the share in 0..1 of its usual new work that a data centre
// may take.
func (g *Gate) Share(now clock.Milli, centre string) float64 {
	share := 1.0
	for i := range g.spans {
		if s := &g.spans[i]; s.centre == centre {
			share = min(share, g.shareIn(s, now))
		}
	}
	return share
}

func (g *Gate) shareIn(s *span, now clock.Milli) float64 {
	switch {
	case now < s.from:
		return 1
	case s.until == 0 || now < s.until:
		return 0
	case g.ramp <= 0 || now >= s.until+g.ramp:
		return 1
	default:
		return g.first + (1-g.first)*float64((now-s.until)/g.ramp)
	}
}

// Allow reports whether the request may go to the data centre. During a
// return the answer depends on the id only, so retries get the same one.
func (g *Gate) Allow(now clock.Milli, centre string, id call.ID) bool {
	share := g.Share(now, centre)
	return share >= 1 || (share > 0 && fraction(id) < share)
}

// Out returns the exception that keeps a data centre out at now.
func (g *Gate) Out(now clock.Milli, centre string) (exception string, out bool) {
	for i := range g.spans {
		if s := &g.spans[i]; s.centre == centre && g.shareIn(s, now) == 0 {
			return s.exception, true
		}
	}
	return "", false
}

// AllowBackground reports whether a background request of the service may
// run while the remaining data centres lack capacity.
func (g *Gate) AllowBackground(service string, id call.ID) bool {
	shed := g.shed[service]
	return shed <= 0 || fraction(id) >= shed
}

// AssertDispatch asserts centre_out. Guards call it when they hand a request to
// their upstream.
func (g *Gate) AssertDispatch(now clock.Milli, centre string) bool {
	for i := range g.spans {
		s := &g.spans[i]
		if s.centre != centre || g.shareIn(s, now) > 0 {
			continue
		}
		// The check stands before the call, as its arguments allocate.
		if since := now - max(s.from, s.known); since > MaxOutDelay {
			return assert.That(false, assert.CentreOut, "work began in %s %.0f ms after %s", centre, float64(since), s.exception)
		}
	}
	return true
}

// fraction maps an id to 0..1.
func fraction(id call.ID) float64 {
	return float64(xxhash.Sum64(id[:])>>11) / (1 << 53)
}
