//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientDeadline is how long a client waits for an answer.
const clientDeadline = 2 * time.Second

// client sends requests to the daemon of one machine on a connection that it keeps.
type client struct {
	machine *machine
	conn    net.Conn
	in      *bufio.Reader
}

// call is one request of a client.
type call struct {
	method, path string
	// headers are lines without their ends.
	headers []string
	body    string
}

func newRequestID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request with an id of its own. It returns the status of the answer, zero if
// there was none.
func (c *client) send(q call) int {
	id := newRequestID()
	rec := c.machine.deployment.record
	rec.sent(id, q, c.machine)
	status, err := c.exchange(id, q)
	if err != nil {
		rec.printf("answered %s nothing: %v", id, err)
		c.close()
		return 0
	}
	rec.printf("answered %s %d", id, status)
	return status
}

func (c *client) exchange(id string, q call) (int, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.addr(portOutbound), time.Second)
		if err != nil {
			return 0, err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(clientDeadline))
	if _, err := io.WriteString(c.conn, requestText(id, q)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// requestText returns a request as it is sent.
func requestText(id string, q call) string {
	lines := append([]string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + hostname, "Request-Id: " + id,
		fmt.Sprintf("Request-Deadline-Ms: %d", clientDeadline.Milliseconds()),
	}, q.headers...)
	if q.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + q.body
}
