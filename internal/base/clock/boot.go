package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that starts at the wall-clock time of its creation and then advances with
// the system's uptime, including the time for which the machine was suspended. Steps of the
// wall clock do not affect it.
type Boot struct {
	base  Milli
	start Milli
}

// NewBoot returns a clock that starts at the current wall-clock time.
func NewBoot() *Boot {
	return &Boot{base: FromTime(time.Now()), start: Uptime()}
}

// Now returns the current time.
func (b *Boot) Now() Milli {
	return b.base + Uptime() - b.start
}

// Uptime returns the time since the start of the machine, including suspends.
func Uptime() Milli {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return FromDuration(time.Duration(ts.Nano()))
}
