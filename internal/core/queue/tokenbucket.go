package queue

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// maxTokenWait is the wait for a token that never comes.
const maxTokenWait = clock.Milli(math.MaxFloat64)

// tokenBucket limits the rate of calls. A call takes one token; the bucket stores tokens
// for a burst. The zero value lets no call start.
type tokenBucket struct {
	// rate is in calls per second.
	rate         float64
	burst        float64
	storedTokens float64
	updatedAt    clock.Milli
}

// fill sets the stored tokens.
func (b *tokenBucket) fill(now clock.Milli, tokens float64) {
	b.storedTokens, b.updatedAt = tokens, now
}

// setRate changes the rate and the burst. Tokens that were stored at the old rate stay,
// up to the new burst.
func (b *tokenBucket) setRate(now clock.Milli, perSecond, burst float64) {
	b.fill(now, b.availableTokens(now))
	b.rate, b.burst = perSecond, burst
}

func (b *tokenBucket) availableTokens(now clock.Milli) float64 {
	return min(b.burst, b.storedTokens+b.rate*float64((now-b.updatedAt)/clock.Second))
}

func (b *tokenBucket) takeToken(now clock.Milli) {
	b.fill(now, b.availableTokens(now)-1)
}

// waitTime returns the time until a call with the given number of calls ahead of it
// has a token.
func (b *tokenBucket) waitTime(now clock.Milli, ahead int) clock.Milli {
	missing := float64(ahead+1) - b.availableTokens(now)
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return maxTokenWait
	default:
		return clock.Milli(missing/b.rate) * clock.Second
	}
}
