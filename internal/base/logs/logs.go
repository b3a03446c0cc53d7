// Package logs configures zerolog to write each event as one line of key=value
// pairs.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// New returns a logger that writes key=value lines to w synchronously. The
// message passed to zerolog is the event's name, in snake case.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	return newLogger(&syncWriter{out: w}, level)
}

// NewAsync returns a logger that converts and writes lines in the background, and
// a Closer that flushes them. Events below the error level never wait for w:
// if w blocks and the buffer is full, lines are dropped and counted. Lines
// logged after Close are written synchronously.
func NewAsync(w io.Writer, level zerolog.Level, opts ...Option) (zerolog.Logger, io.Closer) {
	a := newAsyncWriter(w)
	for _, o := range opts {
		o(a)
	}
	return newLogger(a, level), a
}

// Option configures the writer behind NewAsync.
type Option func(*asyncWriter)

// WithRateLimit limits the rate of lines below the warn level to perSecond.
// Excess lines are dropped and counted.
func WithRateLimit(perSecond int) Option {
	return func(a *asyncWriter) { a.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond) }
}

// setFieldNames sets zerolog's global field names. It does so only once, because
// loggers may be created while others are in use.
var setFieldNames = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.MessageFieldName = "event"
})

func newLogger(w io.Writer, level zerolog.Level) zerolog.Logger {
	setFieldNames()
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
