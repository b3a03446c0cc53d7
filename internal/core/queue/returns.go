package queue

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// returnSchedule spaces the returns of callers whose calls a rate limit refuses, so that
// callers that are refused at the same time do not return at the same time. The zero value
// is ready for use.
type returnSchedule struct {
	// lastReturn is the latest return that was scheduled.
	lastReturn clock.Milli
}

// schedule returns when a refused caller should return, as the time from now. That is at
// least wait, and one interval after the return scheduled before it. A return after the
// caller's deadline is not recorded, as the caller will have given up.
func (s *returnSchedule) schedule(now, wait, interval, deadline clock.Milli) clock.Milli {
	at := max(now+wait, s.lastReturn+interval)
	if at < deadline {
		s.lastReturn = at
	}
	return at - now
}
