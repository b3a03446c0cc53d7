package logs

import (
	"bytes"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// droppedLines counts the lines dropped since the process started.
var droppedLines = expvar.NewInt("log_lines_dropped")

const (
	// batchInterval is how long lines are collected for one write. It limits the
	// writer to 50 wake-ups per second.
	batchInterval = 20 * time.Millisecond
	// maxPendingBytes limits the memory for lines that are not written yet.
	// Beyond it, lines are dropped and counted, as a request must not wait for
	// its log line.
	maxPendingBytes = 4 << 20
	// maxPendingBytesBelowWarn is the limit for lines below the warn level. It
	// is lower, so that warnings about failed requests are dropped last.
	maxPendingBytesBelowWarn = maxPendingBytes / 2
)

// syncWriter converts lines and writes them synchronously.
type syncWriter struct {
	mu   sync.Mutex
	out  io.Writer
	conv converter
	buf  []byte
}

// Write implements io.Writer.
func (s *syncWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = s.conv.appendLines(s.buf[:0], p)
	_, err := s.out.Write(s.buf)
	return len(p), err
}

// asyncWriter collects lines and writes them in batches from its own goroutine.
type asyncWriter struct {
	output syncWriter

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	// dropped is the number of lines dropped since the last log_lines_dropped
	// event.
	dropped int
	// limiter limits the rate of lines below the warn level; nil means no limit.
	limiter *rate.Limiter
	wake    chan struct{}
	done    chan struct{}
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{output: syncWriter{out: w}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer.
func (a *asyncWriter) Write(p []byte) (int, error) {
	return a.enqueue(zerolog.InfoLevel, p)
}

// enqueue adds a line to the pending ones, or drops it if a limit is exceeded.
// After Close it writes the line synchronously.
func (a *asyncWriter) enqueue(l zerolog.Level, p []byte) (int, error) {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		<-a.done
		return a.output.Write(p)
	}
	if a.mustDrop(l) {
		a.dropped++
		droppedLines.Add(1)
		a.mu.Unlock()
		return len(p), nil
	}
	wasEmpty := len(a.pending) == 0
	a.pending = append(a.pending, p...)
	a.mu.Unlock()
	if wasEmpty {
		a.wakeWriter()
	}
	return len(p), nil
}

// mustDrop reports whether a line of level l exceeds a limit. The caller holds
// a.mu.
func (a *asyncWriter) mustDrop(l zerolog.Level) bool {
	if l >= zerolog.WarnLevel {
		return len(a.pending) >= maxPendingBytes
	}
	return len(a.pending) >= maxPendingBytesBelowWarn || a.limiter != nil && !a.limiter.Allow()
}

// WriteLevel implements zerolog.LevelWriter. Events of level error and above are
// flushed before it returns, as the process may be about to exit.
func (a *asyncWriter) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	n, err := a.enqueue(l, p)
	if l >= zerolog.ErrorLevel {
		a.flush()
	}
	return n, err
}

// Close flushes the pending lines and stops the background goroutine. It may be
// called more than once.
func (a *asyncWriter) Close() error {
	a.mu.Lock()
	closed := a.closed
	a.closed = true
	a.mu.Unlock()
	if !closed {
		close(a.wake)
	}
	<-a.done
	return nil
}

func (a *asyncWriter) wakeWriter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *asyncWriter) run() {
	defer close(a.done)
	for range a.wake {
		time.Sleep(batchInterval)
		a.flush()
	}
	a.flush()
}

// appendDropped appends a log_lines_dropped event that reports n dropped lines.
func appendDropped(batch []byte, n int) []byte {
	var line bytes.Buffer
	l := zerolog.New(&line).With().Timestamp().Logger()
	l.Warn().Int("lines", n).Msg("log_lines_dropped")
	return append(batch, line.Bytes()...)
}

// flush writes the pending lines in the order in which they were logged.
func (a *asyncWriter) flush() {
	a.output.mu.Lock()
	defer a.output.mu.Unlock()
	a.mu.Lock()
	batch := a.pending
	a.pending, a.spare = a.spare[:0], nil
	if a.dropped > 0 {
		batch = appendDropped(batch, a.dropped)
		a.dropped = 0
	}
	a.mu.Unlock()
	if len(batch) > 0 {
		s := &a.output
		s.buf = s.conv.appendLines(s.buf[:0], batch)
		_, _ = s.out.Write(s.buf)
	}
	a.mu.Lock()
	a.spare = batch[:0]
	a.mu.Unlock()
}
