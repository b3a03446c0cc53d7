package queue

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// statedBurstDuration is the time for which unused tokens are stored. Calls do not
	// arrive evenly, and an upstream in need must not get many at the same time.
	statedBurstDuration = 500 * clock.Millisecond
	// firstStatedTokens is the number of tokens when an upstream first states a limit.
	firstStatedTokens = 1
	// maxCallInterval replaces the interval between calls of an upstream that accepts
	// none.
	maxCallInterval = 60 * clock.Second
)

// statedLimiter applies the rate limit that an upstream in need states in its responses,
// for as long as it does.
type statedLimiter struct {
	active bool
	// known is set once the upstream has stated a limit. The tokens are then kept while
	// no limit is active, so that a limit that comes and goes adds none.
	known  bool
	bucket tokenBucket
	// statedAt is when the limit was last stated.
	statedAt clock.Milli
}

// observe applies a notice. Responses can overtake each other, so a notice without a limit
// only ends one that was stated before its request was sent.
func (l *statedLimiter) observe(now clock.Milli, notice call.Notice) {
	if !notice.Limited {
		l.active = l.active && notice.RequestedAt <= l.statedAt
		return
	}
	if !l.known {
		l.known = true
		l.bucket = tokenBucket{burst: firstStatedTokens}
		l.bucket.fill(now, firstStatedTokens)
	}
	burst := max(1, notice.RateLimit*float64(statedBurstDuration/clock.Second))
	l.bucket.setRate(now, notice.RateLimit, burst)
	l.active, l.statedAt = true, now
}

// hasToken reports whether the limiter lets a call start. An inactive limiter always
// does.
func (l *statedLimiter) hasToken(now clock.Milli) bool {
	return !l.active || l.bucket.availableTokens(now) >= 1
}

func (l *statedLimiter) takeToken(now clock.Milli) {
	if l.active {
		l.bucket.takeToken(now)
	}
}

// waitTime returns the time until a call with the given number of calls ahead of it
// has a token.
func (l *statedLimiter) waitTime(now clock.Milli, ahead int) clock.Milli {
	if !l.active {
		return 0
	}
	return l.bucket.waitTime(now, ahead)
}

// callInterval returns the mean time between calls that the limit admits, zero without
// a limit.
func (l *statedLimiter) callInterval() clock.Milli {
	switch {
	case !l.active:
		return 0
	case l.bucket.rate <= 0:
		return maxCallInterval
	default:
		return min(maxCallInterval, clock.Milli(1/l.bucket.rate)*clock.Second)
	}
}
