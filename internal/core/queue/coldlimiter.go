package queue

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// coldBurst is the capacity of the token bucket: the number of calls that a cold
// upstream may receive in a burst.
const coldBurst = 2

// coldLimiter is a token bucket that limits the rate of calls to a cold upstream.
type coldLimiter struct {
	until clock.Milli
	// rate is in calls per second.
	rate         float64
	storedTokens float64
	updatedAt    clock.Milli
}

// setRate limits the calls per second until an instant. A rate of zero removes the
// limit.
func (l *coldLimiter) setRate(now, until clock.Milli, perSecond float64) {
	if !l.isActive(now) {
		l.storedTokens, l.updatedAt = coldBurst, now
	}
	l.until, l.rate = until, perSecond
}

func (l *coldLimiter) isActive(now clock.Milli) bool {
	return l.rate > 0 && now < l.until
}

func (l *coldLimiter) availableTokens(now clock.Milli) float64 {
	return min(coldBurst, l.storedTokens+l.rate*float64((now-l.updatedAt)/clock.Second))
}

// hasToken reports whether the limiter lets a call start. An inactive limiter always
// does.
func (l *coldLimiter) hasToken(now clock.Milli) bool {
	return !l.isActive(now) || l.availableTokens(now) >= 1
}

func (l *coldLimiter) takeToken(now clock.Milli) {
	if !l.isActive(now) {
		return
	}
	l.storedTokens, l.updatedAt = l.availableTokens(now)-1, now
}

// waitTime returns the time until a call with the given number of calls ahead of it
// has a token.
func (l *coldLimiter) waitTime(now clock.Milli, ahead int) clock.Milli {
	missing := float64(ahead+1) - l.availableTokens(now)
	return max(0, clock.Milli(missing/l.rate)*clock.Second)
}
