package queue

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// coldBurst is the number of calls that a cold upstream may get at once.
const coldBurst = 2

// pacer is a token bucket that limits the calls to a cold upstream.
type pacer struct {
	until clock.Milli
	rate  float64
	level float64
	at    clock.Milli
}

// set bounds the calls a second until an instant.
func (p *pacer) set(now, until clock.Milli, perSecond float64) {
	if !p.limits(now) {
		p.level, p.at = coldBurst, now
	}
	p.until, p.rate = until, perSecond
}

func (p *pacer) limits(now clock.Milli) bool {
	return p.rate > 0 && now < p.until
}

func (p *pacer) tokens(now clock.Milli) float64 {
	return min(coldBurst, p.level+p.rate*float64((now-p.at)/clock.Second))
}

func (p *pacer) ready(now clock.Milli) bool {
	return !p.limits(now) || p.tokens(now) >= 1
}

func (p *pacer) take(now clock.Milli) {
	if !p.limits(now) {
		return
	}
	p.level, p.at = p.tokens(now)-1, now
}

// wait is the time until a call with others ahead of it may start.
func (p *pacer) wait(now clock.Milli, ahead int) clock.Milli {
	missing := float64(ahead+1) - p.tokens(now)
	return max(0, clock.Milli(missing/p.rate)*clock.Second)
}
