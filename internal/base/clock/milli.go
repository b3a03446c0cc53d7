// Package clock defines Milli, the time type of the whole project, and clocks
// that return it.
package clock

import "time"

// Milli is a number of milliseconds. It represents both durations and instants,
// the latter as the time since the Unix epoch. A float64 resolves instants of
// this century to less than a microsecond.
type Milli float64

// Common durations.
const (
	Millisecond Milli = 1
	Second      Milli = 1000
	Minute      Milli = 60 * Second
	Hour        Milli = 60 * Minute
)

// FromDuration converts d from a time.Duration.
func FromDuration(d time.Duration) Milli {
	return Milli(float64(d) / float64(time.Millisecond))
}

// Duration converts the duration m to a time.Duration.
func (m Milli) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Time converts the instant m to a time.Time in UTC, with microsecond precision.
func (m Milli) Time() time.Time {
	return time.UnixMicro(int64(float64(m) * 1000)).UTC()
}

// FromTime converts t to an instant, with microsecond precision.
func FromTime(t time.Time) Milli {
	return Milli(float64(t.UnixMicro()) / 1000)
}
