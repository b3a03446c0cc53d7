package retry

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

const (
	// tailShare is the part of calls that are slower than the estimate, and
	// so the largest share of calls that is hedged.
	tailShare = 0.03
	// step is the relative change of the estimate by one call.
	step = 0.02
	// fewest is the number of calls before the estimate is used.
	fewest = 100
)

// tail estimates a high quantile of the latency by small steps, which needs
// no memory of single calls.
type tail struct {
	estimate clock.Milli
	seen     int
}

func (t *tail) add(latency clock.Milli) {
	t.seen++
	if t.estimate == 0 {
		t.estimate = latency
		return
	}
	if latency > t.estimate {
		t.estimate *= 1 + step*(1-tailShare)
	} else {
		t.estimate *= 1 - step*tailShare
	}
}

func (t *tail) value() (clock.Milli, bool) {
	return t.estimate, t.seen >= fewest
}
