package pipe

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// readBufferBytes is the size of one read from a connection.
const readBufferBytes = 4 << 10

// conn is a connection that is read ahead.
type conn struct {
	net.Conn
	pipeline *Pipeline
	inbox    *inbox
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	// queue has the messages that the server has not reached.
	queue []*message
	// active is the message that the server handles, nil between two of them or if it
	// was not read ahead.
	active *message
	// sealed is set when no further request may be started early.
	sealed bool
	// responsesSealed counts the responses since then.
	responsesSealed int
	closed          bool
}

func newConn(nc net.Conn, p *Pipeline) *conn {
	c := &conn{Conn: nc, pipeline: p, inbox: newInbox(nc)}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// start begins to read ahead. The returned context ends with the connection.
func (c *conn) start(ctx context.Context) context.Context {
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.loop()
	return c.ctx
}

// loop reads ahead until the connection ends or a request is found that can't be
// parsed ahead. The server then reads from the connection itself.
func (c *conn) loop() {
	s := &scanner{}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.Conn.Read(buf)
		if !c.scan(s, buf[:n]) {
			c.inbox.release()
			return
		}
		if err != nil {
			c.inbox.fail(err)
			c.cancel()
			return
		}
	}
}

// scan records the messages in data and passes their bytes to the server. It reports
// false when no further message can be found.
func (c *conn) scan(s *scanner, data []byte) bool {
	for len(data) > 0 {
		c.mu.Lock()
		res := s.next(data)
		c.mu.Unlock()
		// The server must not reach a message before it is recorded.
		if res.message != nil && !c.enqueue(res.message) {
			c.inbox.add(data)
			return false
		}
		c.startEligible()
		c.inbox.add(data[:res.consumed])
		data = data[res.consumed:]
		if res.last {
			c.inbox.add(data)
			return false
		}
	}
	return true
}

// enqueue records a message. It waits while too many are recorded, and reports false if there
// is no room for it.
func (c *conn) enqueue(m *message) bool {
	give, ok := c.pipeline.room(c.ctx, m.cost())
	if !ok {
		return false
	}
	m.give = give
	overlaps := c.pipeline.repeatable(m.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxQueuedPerConn && !c.closed {
		c.changed.Wait()
	}
	m.overlaps = overlaps
	if c.closed {
		m.give()
		return true
	}
	c.queue = append(c.queue, m)
	return true
}

// startEligible starts the queued requests that may run now.
func (c *conn) startEligible() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || c.closed || c.pipeline.stopping() {
		return
	}
	started := 0
	previous := c.active
	for _, m := range c.queue {
		switch {
		case m.call != nil:
			started++
		case previous == nil:
			// The server is about to handle it.
		case !previous.overlaps || !m.overlaps || m.missing > 0 || started >= maxEarlyPerConn || !c.pipeline.tryStart():
			return
		default:
			m.call = startCall(c.ctx, c.pipeline.next, m)
			started++
		}
		previous = m
	}
}

// begin records that the server handles r. It returns the call if r was started early.
func (c *conn) begin(r *http.Request) *earlyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	c.active = nil
	if len(c.queue) == 0 {
		return nil
	}
	m := c.queue[0]
	if !m.matches(r) {
		// The two parsers disagree, so nothing that was read ahead can be trusted.
		c.sealed = true
		c.dropQueue()
		return nil
	}
	c.queue[0] = nil
	c.queue = c.queue[1:]
	c.active = m
	return m.call
}

// end records that the server has handled the active message.
func (c *conn) end() {
	c.mu.Lock()
	if c.active != nil {
		c.active.give()
		if c.active.call != nil {
			c.pipeline.early.Add(-1)
		}
	}
	c.active = nil
	c.mu.Unlock()
	c.startEligible()
}

// dropQueue cancels the requests that were started early. The caller holds the lock.
func (c *conn) dropQueue() {
	for _, m := range c.queue {
		m.give()
		if m.call != nil {
			m.call.cancel()
			c.pipeline.early.Add(-1)
		}
	}
	c.queue = nil
}

// seal prevents further early starts and reports whether the connection may close
// after the active message, as none behind it was started or read completely. A caller that
// always sends another request does not keep the connection open.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	c.responsesSealed++
	return !slices.ContainsFunc(c.queue, func(m *message) bool {
		return m.call != nil || m.missing == 0 && c.responsesSealed <= maxQueuedPerConn
	})
}

// unanswered returns the number of requests that were started early or read completely behind
// another one, and whose response was not written.
func (c *conn) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if c.active != nil && c.active.call != nil {
		n++
	}
	for _, m := range c.queue {
		if m.call != nil || m.missing == 0 {
			n++
		}
	}
	return n
}

// NetConn returns the connection that is read ahead.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.inbox.Read(p) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.inbox.setDeadline(t) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.inbox.setDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.dropQueue()
	c.changed.Broadcast()
	c.mu.Unlock()
	c.pipeline.remove(c)
	c.inbox.fail(net.ErrClosed)
	if c.cancel != nil {
		c.cancel()
	}
	return c.Conn.Close()
}

// matches reports whether the server parsed the same request.
func (m *message) matches(r *http.Request) bool {
	own := m.request
	return own.Method == r.Method && own.RequestURI == r.RequestURI && own.Host == r.Host &&
		own.ContentLength == r.ContentLength && maps.EqualFunc(own.Header, r.Header, slices.Equal)
}
