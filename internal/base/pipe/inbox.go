package pipe

import (
	"net"
	"os"
	"sync"
	"time"
)

// maxInboxBytes is the number of unread bytes at which add waits.
const maxInboxBytes = 64 << 10

// inbox passes the bytes that were read ahead to the server and implements the read
// deadline of the connection. After release, the server reads from source directly.
type inbox struct {
	source net.Conn

	mu       sync.Mutex
	changed  *sync.Cond
	unread   []byte
	err      error
	released bool
	deadline time.Time
}

func newInbox(source net.Conn) *inbox {
	b := &inbox{source: source}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Read returns unread bytes and waits for them until the deadline.
func (b *inbox) Read(p []byte) (int, error) {
	if n, err, ok := b.readBuffered(p); ok {
		return n, err
	}
	return b.source.Read(p)
}

// readBuffered is Read before release. It reports false once all bytes were read
// after release.
func (b *inbox) readBuffered(p []byte) (n int, err error, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.unread) == 0 {
		switch {
		case b.released:
			return 0, nil, false
		case b.err != nil:
			return 0, b.err, true
		case b.expired():
			return 0, os.ErrDeadlineExceeded, true
		}
		b.wait()
	}
	if b.expired() {
		return 0, os.ErrDeadlineExceeded, true
	}
	n = copy(p, b.unread)
	b.unread = b.unread[n:]
	if len(b.unread) == 0 {
		b.unread = nil
	}
	b.changed.Broadcast()
	return n, nil, true
}

func (b *inbox) expired() bool {
	return !b.deadline.IsZero() && !time.Now().Before(b.deadline)
}

// wait waits for a change or the deadline.
func (b *inbox) wait() {
	if !b.deadline.IsZero() {
		t := time.AfterFunc(time.Until(b.deadline), func() {
			// The lock orders the wake-up after the start of the wait.
			b.mu.Lock()
			defer b.mu.Unlock()
			b.changed.Broadcast()
		})
		defer t.Stop()
	}
	b.changed.Wait()
}

// add appends bytes. It waits while too many bytes are unread.
func (b *inbox) add(p []byte) {
	if len(p) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.unread) >= maxInboxBytes && b.err == nil {
		b.changed.Wait()
	}
	b.unread = append(b.unread, p...)
	b.changed.Broadcast()
}

// fail makes Read return err after the unread bytes.
func (b *inbox) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.changed.Broadcast()
}

// release ends reading ahead: after the unread bytes, Read reads from source.
func (b *inbox) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	// An error means that the connection is closed, which the next read reports.
	_ = b.source.SetReadDeadline(b.deadline)
	b.changed.Broadcast()
}

// setDeadline sets the time at which Read fails. The zero time is none.
func (b *inbox) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	b.changed.Broadcast()
	if b.released {
		return b.source.SetReadDeadline(t)
	}
	return nil
}
