package queue

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// coldBurst is the number of calls that an upstream may receive in a burst when it becomes
// cold. It is also the least capacity of the token bucket afterwards.
const coldBurst = 2

// coldLimiter is a token bucket that limits the rate of calls to a cold upstream.
type coldLimiter struct {
	until  clock.Milli
	bucket tokenBucket
	// slack is the number of calls beyond the rate that are tolerated in one second.
	slack float64
}

// setRate limits the calls per second until an instant. A rate of zero removes the
// limit.
func (l *coldLimiter) setRate(now, until clock.Milli, perSecond float64) {
	if !l.isActive(now) {
		l.bucket.fill(now, coldBurst)
	}
	l.until, l.bucket.rate, l.bucket.burst = until, perSecond, l.savedCalls(perSecond)
}

func (l *coldLimiter) isActive(now clock.Milli) bool {
	return l.bucket.rate > 0 && now < l.until
}

// hasToken reports whether the limiter lets a call start. An inactive limiter always
// does.
func (l *coldLimiter) hasToken(now clock.Milli) bool {
	return !l.isActive(now) || l.bucket.availableTokens(now) >= 1
}

func (l *coldLimiter) takeToken(now clock.Milli) {
	if l.isActive(now) {
		l.bucket.takeToken(now)
	}
}

// waitTime returns the time until a call with the given number of calls ahead of it
// has a token.
func (l *coldLimiter) waitTime(now clock.Milli, ahead int) clock.Milli {
	if !l.isActive(now) {
		return 0
	}
	return l.bucket.waitTime(now, ahead)
}
