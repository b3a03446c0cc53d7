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

// droppedLines counts the lines that were dropped since the start.
var droppedLines = expvar.NewInt("log_lines_dropped")

const (
	// batchWait collects lines for one write, and so bounds the number of
	// wake-ups to 50 a second.
	batchWait = 20 * time.Millisecond
	// maxPendingBytes bounds the memory for lines that the output does not
	// accept in time. From then on lines are dropped and counted, as a request
	// must not wait for its log line.
	maxPendingBytes = 4 << 20
	// ordinaryBytes is the same for lines that are no warning, so that those
	// of failed requests are kept longest.
	ordinaryBytes = maxPendingBytes / 2
)

// direct writes each line at once.
type direct struct {
	mu   sync.Mutex
	out  io.Writer
	conv converter
	buf  []byte
}

// Write implements io.Writer.
func (d *direct) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.buf = d.conv.appendLines(d.buf[:0], p)
	_, err := d.out.Write(d.buf)
	return len(p), err
}

// background collects lines and writes them in batches.
type background struct {
	direct direct

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	// dropped counts the lines that were dropped since the last report.
	dropped int
	// rate bounds ordinary lines, nil for no bound.
	rate *rate.Limiter
	wake chan struct{}
	done chan struct{}
}

func newBackground(w io.Writer) *background {
	b := &background{direct: direct{out: w}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *background) Write(p []byte) (int, error) {
	return b.add(zerolog.InfoLevel, p)
}

// add takes a line in, or drops it if there is no room.
func (b *background) add(l zerolog.Level, p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		<-b.done
		return b.direct.Write(p)
	}
	if b.full(l) {
		b.dropped++
		droppedLines.Add(1)
		b.mu.Unlock()
		return len(p), nil
	}
	first := len(b.pending) == 0
	b.pending = append(b.pending, p...)
	b.mu.Unlock()
	if first {
		b.signal()
	}
	return len(p), nil
}

// full reports whether a line must be dropped. The caller holds the lock.
func (b *background) full(l zerolog.Level) bool {
	if l >= zerolog.WarnLevel {
		return len(b.pending) >= maxPendingBytes
	}
	return len(b.pending) >= ordinaryBytes || b.rate != nil && !b.rate.Allow()
}

// WriteLevel implements zerolog.LevelWriter. Errors are written at once, as
// the process may end soon.
func (b *background) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	n, err := b.add(l, p)
	if l >= zerolog.ErrorLevel {
		b.flush()
	}
	return n, err
}

// Close writes what is pending.
func (b *background) Close() error {
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

func (b *background) signal() {
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

func (b *background) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(batchWait)
		b.flush()
	}
	b.flush()
}

// appendDropped adds a line that tells how many were dropped.
func appendDropped(batch []byte, n int) []byte {
	var line bytes.Buffer
	l := zerolog.New(&line).With().Timestamp().Logger()
	l.Warn().Int("lines", n).Msg("log_lines_dropped")
	return append(batch, line.Bytes()...)
}

// flush writes the pending lines in their order.
func (b *background) flush() {
	b.direct.mu.Lock()
	defer b.direct.mu.Unlock()
	b.mu.Lock()
	batch := b.pending
	b.pending, b.spare = b.spare[:0], nil
	if b.dropped > 0 {
		batch = appendDropped(batch, b.dropped)
		b.dropped = 0
	}
	b.mu.Unlock()
	if len(batch) > 0 {
		d := &b.direct
		d.buf = d.conv.appendLines(d.buf[:0], batch)
		_, _ = d.out.Write(d.buf)
	}
	b.mu.Lock()
	b.spare = batch[:0]
	b.mu.Unlock()
}
