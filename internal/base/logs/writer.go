package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// batchWait collects lines for one write, and so bounds the number of
	// wake-ups to 50 a second.
	batchWait = 20 * time.Millisecond
	// maxPendingBytes bounds the memory for lines that the output does not
	// accept in time. Then logging waits, as no line may be lost.
	maxPendingBytes = 4 << 20
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
	room    sync.Cond
	wake    chan struct{}
	done    chan struct{}
}

func newBackground(w io.Writer) *background {
	b := &background{direct: direct{out: w}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	b.room.L = &b.mu
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *background) Write(p []byte) (int, error) {
	b.mu.Lock()
	for len(b.pending) >= maxPendingBytes && !b.closed {
		b.room.Wait()
	}
	if b.closed {
		b.mu.Unlock()
		<-b.done
		return b.direct.Write(p)
	}
	first := len(b.pending) == 0
	b.pending = append(b.pending, p...)
	b.mu.Unlock()
	if first {
		b.signal()
	}
	return len(p), nil
}

// WriteLevel implements zerolog.LevelWriter. Errors are written at once, as
// the process may end soon.
func (b *background) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	n, err := b.Write(p)
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
	b.room.Broadcast()
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

// flush writes the pending lines in their order.
func (b *background) flush() {
	b.direct.mu.Lock()
	defer b.direct.mu.Unlock()
	b.mu.Lock()
	batch := b.pending
	b.pending, b.spare = b.spare[:0], nil
	b.room.Broadcast()
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
