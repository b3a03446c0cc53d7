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
	// ordinaryBytes is the limit for lines below the warn level. It is
	// lower, so that warnings about failed requests are dropped last.
	maxPendingBytesBelowWarn = maxPendingBytes / 2
)

// direct converts lines and writes them synchronously.
type syncWriter struct {
	mu   sync.Mutex
	out  io.Writer
	conv converter
	buf  []byte
}

// Write implements io.Writer.
func (d *syncWriter) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.buf = d.conv.appendLines(d.buf[:0], p)
	_, err := d.out.Write(d.buf)
	return len(p), err
}

// background collects lines and writes them in batches from its own goroutine.
type asyncWriter struct {
	output syncWriter

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	// dropped is the number of lines dropped since the last log_lines_dropped
	// event.
	dropped int
	// rate limits the lines below the warn level; nil means no limit.
	limiter *rate.Limiter
	wake    chan struct{}
	done    chan struct{}
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	b := &asyncWriter{output: syncWriter{out: w}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *asyncWriter) Write(p []byte) (int, error) {
	return b.enqueue(zerolog.InfoLevel, p)
}

// enqueue adds a line to the pending ones, or drops it if a limit is exceeded. After
// Close it writes the line synchronously.
func (b *asyncWriter) enqueue(l zerolog.Level, p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		<-b.done
		return b.output.Write(p)
	}
	if b.mustDrop(l) {
		b.dropped++
		droppedLines.Add(1)
		b.mu.Unlock()
		return len(p), nil
	}
	wasEmpty := len(b.pending) == 0
	b.pending = append(b.pending, p...)
	b.mu.Unlock()
	if wasEmpty {
		b.wakeWriter()
	}
	return len(p), nil
}

// mustDrop reports whether a line of level l exceeds a limit. The caller holds
// b.mu.
func (b *asyncWriter) mustDrop(l zerolog.Level) bool {
	if l >= zerolog.WarnLevel {
		return len(b.pending) >= maxPendingBytes
	}
	return len(b.pending) >= maxPendingBytesBelowWarn || b.limiter != nil && !b.limiter.Allow()
}

// WriteLevel implements zerolog.LevelWriter. Events of level error and above are
// flushed before it returns, as the process may be about to exit.
func (b *asyncWriter) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	n, err := b.enqueue(l, p)
	if l >= zerolog.ErrorLevel {
		b.flush()
	}
	return n, err
}

// Close flushes the pending lines and stops the background goroutine. It may be
// called more than once.
func (b *asyncWriter) Close() error {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !closed {
		close(b.wake)
	}
	<-b.done
	return nil
}

func (b *asyncWriter) wakeWriter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *asyncWriter) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(batchInterval)
		b.flush()
	}
	b.flush()
}

// appendDropped appends a log_lines_dropped event that reports n dropped lines.
func appendDropped(batch []byte, n int) []byte {
	var line bytes.Buffer
	l := zerolog.New(&line).With().Timestamp().Logger()
	l.Warn().Int("lines", n).Msg("log_lines_dropped")
	return append(batch, line.Bytes()...)
}

// flush writes the pending lines in the order in which they were logged.
func (b *asyncWriter) flush() {
	b.output.mu.Lock()
	defer b.output.mu.Unlock()
	b.mu.Lock()
	batch := b.pending
	b.pending, b.spare = b.spare[:0], nil
	if b.dropped > 0 {
		batch = appendDropped(batch, b.dropped)
		b.dropped = 0
	}
	b.mu.Unlock()
	if len(batch) > 0 {
		d := &b.output
		d.buf = d.conv.appendLines(d.buf[:0], batch)
		_, _ = d.out.Write(d.buf)
	}
	b.mu.Lock()
	b.spare = batch[:0]
	b.mu.Unlock()
}
