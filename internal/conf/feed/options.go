package feed

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Option configures a Follower in NewFollower.
type Option func(*Follower)

// WithStart sets the position of the first read. The sink already holds all
// items before it.
func WithStart(p Position) Option {
	return func(f *Follower) { f.start = p }
}

// WithBatchDelay sets the pause after a read that returned records, 400 ms by
// default. It limits the number of reads: each has a cost, and without a pause every
// record would cause one by each follower of the topic.
func WithBatchDelay(d clock.Milli) Option {
	return func(f *Follower) { f.batchDelay = d }
}

// WithReadWait sets how long a read may wait for records, at most 25 s. A read
// whose reply is lost blocks the follower for that time.
func WithReadWait(wait func() clock.Milli) Option {
	return func(f *Follower) { f.readWait = wait }
}

// WithIdleStart makes the follower start idle.
func WithIdleStart() Option {
	return func(f *Follower) { f.idle.Store(true) }
}

// WithReadHook sets a function that is called after each successful read, with the time since
// which the store may have changed without the read showing it.
func WithReadHook(onRead func(age clock.Milli)) Option {
	return func(f *Follower) { f.onRead = onRead }
}
