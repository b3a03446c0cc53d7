// Package clock holds the project's one time type and the clocks that read it.
package clock

import "time"

// Milli is a number of milliseconds. It serves as an instant (since the Unix
// epoch) and as a duration. A float64 resolves instants of this century to
// less than a microsecond.
type Milli float64

// Common durations.
const (
	Millisecond Milli = 1
	Second      Milli = 1000
	Minute      Milli = 60 * Second
	Hour        Milli = 60 * Minute
)

// FromDuration converts a duration of the standard library.
func FromDuration(d time.Duration) Milli {
	return Milli(float64(d) / float64(time.Millisecond))
}

// Duration converts m to a duration of the standard library.
func (m Milli) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Time converts the instant m to a time of the standard library.
func (m Milli) Time() time.Time {
	return time.UnixMicro(int64(float64(m) * 1000)).UTC()
}

// FromTime converts an instant of the standard library.
func FromTime(t time.Time) Milli {
	return Milli(float64(t.UnixMicro()) / 1000)
}
