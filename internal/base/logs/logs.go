// Package logs sets zerolog up to write one line of key=value pairs per event.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// New returns a logger that writes key=value lines to w. The message of an
// event is its name, in snake case. Each line is written before the call that
// logged it returns.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	return logger(&direct{out: w}, level)
}

// NewAsync returns a logger that converts and writes lines in the background. It
// never waits: while the output accepts nothing, lines are dropped and counted.
// Closing the writer writes what is pending; lines logged later are written at
// once.
func NewAsync(w io.Writer, level zerolog.Level, opts ...Option) (zerolog.Logger, io.Closer) {
	b := newBackground(w)
	for _, o := range opts {
		o(b)
	}
	return logger(b, level), b
}

// Option changes a writer in the background.
type Option func(*background)

// WithRateLimit bounds the lines a second that are no warnings. Those beyond are
// dropped and counted.
func WithRateLimit(perSecond int) Option {
	return func(b *background) { b.rate = rate.NewLimiter(rate.Limit(perSecond), perSecond) }
}

// setNames changes the library's global names once, as loggers may be made
// while others are in use.
var setNames = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.MessageFieldName = "event"
})

func logger(w io.Writer, level zerolog.Level) zerolog.Logger {
	setNames()
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
