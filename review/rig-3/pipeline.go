//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// pipelineBodyBytes is the largest body of an answer on the sites.
	pipelineBodyBytes = 30000
	// pipelineDepth is the number of requests that wait behind the one that is being answered.
	pipelineDepth = 2
	// windowBytes is the receive buffer of a caller's connection.
	windowBytes = 8 << 10
	// readPause is the time that a caller takes for each readBytes of an answer.
	readPause = 2 * time.Millisecond
	readBytes = 4 << 10
	// pipelineDeadline is the deadline of each request.
	pipelineDeadline = 1500 * time.Millisecond
)

// pipeline is a caller that pipelines idempotent requests on one connection, and opens another one
// when that ends.
type pipeline struct {
	machine *machine
}

// sentRequest is a request that waits for its answer.
type sentRequest struct {
	id string
	at time.Time
}

// pipelineResult says how the requests of a pipeline ended.
type pipelineResult struct {
	answered int
	// truncated has the ids of the requests whose answer began and ended, before the deadline,
	// without being complete.
	truncated []string
}

// run sends requests for a while, or until the daemon accepts no connection.
func (p *pipeline) run(length time.Duration) (res pipelineResult) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(p.machine.rig.ctx, "tcp", p.machine.outbound)
		if err != nil {
			return res
		}
		check(conn.(*net.TCPConn).SetReadBuffer(windowBytes))
		p.converse(conn, end, &res)
		_ = conn.Close()
	}
	return res
}

// converse uses one connection until the server closes it or end.
func (p *pipeline) converse(conn net.Conn, end time.Time, res *pipelineResult) {
	ctx, cancel := context.WithCancel(p.machine.rig.ctx)
	defer cancel()
	sent := make(chan sentRequest, pipelineDepth)
	go p.sendLoop(ctx, conn, end, sent)
	reader := bufio.NewReaderSize(&slowReader{conn: conn}, readBytes)
	for s := range sent {
		id := s.id
		_ = conn.SetReadDeadline(time.Now().Add(2 * pipelineDeadline))
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			// The server closed before it answered: the caller may send it again.
			p.machine.rig.record("no_answer", "request", id, "error", err.Error())
			return
		}
		if resp.Close {
			cancel()
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			p.machine.rig.record("answer_truncated", "request", id, "status", strconv.Itoa(resp.StatusCode), "received", fmt.Sprint(n),
				"of", fmt.Sprint(resp.ContentLength), "error", err.Error())
			if time.Since(s.at) < pipelineDeadline {
				res.truncated = append(res.truncated, id)
			}
			return
		}
		p.machine.rig.record("answered", "request", id, "status", strconv.Itoa(resp.StatusCode), "bytes", fmt.Sprint(n), "close", strconv.FormatBool(resp.Close))
		res.answered++
		if resp.Close {
			return
		}
	}
}

// sendLoop sends a request whenever fewer than pipelineDepth wait, until ctx ends: with the first answer that says that the connection closes.
func (p *pipeline) sendLoop(ctx context.Context, conn net.Conn, end time.Time, sent chan<- sentRequest) {
	defer close(sent)
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		select {
		case sent <- sentRequest{id, time.Now()}:
		case <-ctx.Done():
			return
		}
		if ctx.Err() != nil {
			return
		}
		p.machine.rig.record("sent", "request", id, "to", p.machine.name, "local", conn.LocalAddr().String())
		_, err := fmt.Fprintf(conn, "GET /lookup/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\n\r\n", id, host, id, pipelineDeadline.Milliseconds())
		if err != nil {
			return
		}
	}
}

// slowReader reads like a caller behind a link with little bandwidth.
type slowReader struct {
	conn net.Conn
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return s.conn.Read(p[:min(len(p), readBytes)])
}
