//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// Target is a stand-in of an application target.
type Target struct {
	rec      *Recorder
	ID       string
	Born     int64
	Addr     string
	Control  string
	Service  string
	Zone     string
	Version  string
	Capacity int
	Queue    int
	// WorkTime is the mean time that a request takes.
	WorkTime time.Duration
	// FailureShare is the share of requests below FailurePrefix that end with a failure.
	FailureShare  float64
	FailurePrefix string
	listener      net.Listener
	client        *http.Client
	running       atomic.Int64
	waiting       atomic.Int64
	draining      atomic.Bool
	stopped       chan struct{}
	slots         chan struct{}

	mu       sync.Mutex
	sequence uint64
	// drainAcked is when the daemon acknowledged that the target drains, zero before.
	drainAcked time.Duration
	runs       []Run
	// extra, if set, returns bytes to send before the answer to the next request on a
	// connection: what a faulty target sends late, after a complete answer.
	extra func() []byte
}

// Run is a request that reached a target.
type Run struct {
	At       time.Duration
	ID       string
	Path     string
	Target   string
	Executed bool
}

// Start opens the listener and begins to send heartbeats.
func (t *Target) Start(rec *Recorder) error {
	l, err := net.Listen("tcp", t.Addr)
	if err != nil {
		return err
	}
	t.rec, t.listener, t.stopped = rec, l, make(chan struct{})
	t.client = &http.Client{Timeout: time.Second}
	t.slots = make(chan struct{}, t.Capacity)
	go t.accept()
	go t.beatLoop()
	return nil
}

// Stop ends the target at once.
func (t *Target) Stop() {
	select {
	case <-t.stopped:
		return
	default:
	}
	close(t.stopped)
	_ = t.listener.Close()
}

func (t *Target) beatLoop() {
	for {
		_, _ = t.Beat()
		select {
		case <-t.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// Beat sends a heartbeat and reports whether it was acknowledged.
func (t *Target) Beat() (seq uint64, acked bool) {
	t.mu.Lock()
	t.sequence++
	seq = t.sequence
	t.mu.Unlock()
	phase := "ready"
	if t.draining.Load() {
		phase = "draining"
	}
	status := t.post(t.heartbeat(phase, seq))
	acked = status/100 == 2
	if acked && phase == "draining" {
		t.mu.Lock()
		if t.drainAcked == 0 {
			t.drainAcked = t.rec.Now()
			t.rec.Logf("target %s is told that its draining is acknowledged", t.ID)
		}
		t.mu.Unlock()
	}
	if phase == "draining" {
		t.rec.Logf("target %s beat phase=%s sequence=%d status=%d", t.ID, phase, seq, status)
	}
	return seq, acked
}

// heartbeat returns the body of a heartbeat.
func (t *Target) heartbeat(phase string, seq uint64) map[string]any {
	return map[string]any{
		"backend": t.Service, "address": t.Addr, "zone": t.Zone, "version": t.Version, "capacity": t.Capacity,
		"phase": phase, "cold_remaining_ms": 0, "sequence": seq, "born": t.Born,
	}
}

func (t *Target) post(body map[string]any) int {
	b, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	resp, err := t.client.Post("http://"+t.Control+"/instances/"+t.ID+"/heartbeat", "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Deregister reports that the target ends, and ends it.
func (t *Target) Deregister() {
	b, err := json.Marshal(map[string]any{"born": t.Born})
	if err == nil {
		resp, err := t.client.Post("http://"+t.Control+"/instances/"+t.ID+"/deregister", "application/json", bytes.NewReader(b))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	t.rec.Logf("target %s deregisters and ends", t.ID)
	t.Stop()
}

// Drain reports at once that the target is draining.
func (t *Target) Drain() {
	t.draining.Store(true)
	_, _ = t.Beat()
}

// DrainAcked returns when the draining was acknowledged, zero before.
func (t *Target) DrainAcked() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainAcked
}

// LastSequence returns the sequence of the last heartbeat.
func (t *Target) LastSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}

// Runs returns the requests that reached the target.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (t *Target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	var extra []byte
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == healthPath {
			if t.answerHealth(c) != nil {
				return
			}
			continue
		}
		if extra != nil {
			t.rec.Logf("target %s sends %d bytes that belong to no request as request %s arrives", t.ID, len(extra), r.Header.Get("Request-Id"))
			if _, err := c.Write(extra); err != nil {
				return
			}
		}
		extra = nil
		if t.answer(c, r, len(body)) != nil {
			return
		}
		extra = t.nextExtra()
	}
}

// SetExtra makes the target faulty, or sound again with nil.
func (t *Target) SetExtra(extra func() []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extra = extra
}

func (t *Target) nextExtra() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.extra == nil {
		return nil
	}
	return t.extra()
}

func (t *Target) load() string {
	return fmt.Sprintf("%d,%d,%d,100", t.running.Load(), t.waiting.Load(), t.Capacity)
}

func (t *Target) answerHealth(c net.Conn) error {
	status := "200 OK"
	if t.draining.Load() {
		status = "503 Service Unavailable"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", status, t.ID, t.load())
	return err
}

func (t *Target) answer(c net.Conn, r *http.Request, bodyBytes int) error {
	id := r.Header.Get("Request-Id")
	run := Run{At: t.rec.Now(), ID: id, Path: r.URL.Path, Target: t.ID}
	if want := r.Header.Get("Target-Instance"); want != "" && want != t.ID {
		t.rec.Logf("target %s answers 421 to %s, which is for %s", t.ID, id, want)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.ID)
		return err
	}
	t.waiting.Add(1)
	if int(t.waiting.Load()) > t.Queue {
		t.waiting.Add(-1)
		t.rec.Logf("target %s rejects %s, it is full", t.ID, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", id, t.load())
		return err
	}
	t.slots <- struct{}{}
	t.waiting.Add(-1)
	t.running.Add(1)
	run.Executed = true
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.rec.Logf("target %s runs %s %s %s body=%d from=%s", t.ID, id, r.Method, r.URL.Path, bodyBytes, r.Header.Get("Caller-Service"))
	time.Sleep(time.Duration(float64(t.WorkTime) * (0.7 + 0.6*rand.Float64())))
	t.running.Add(-1)
	<-t.slots
	if strings.HasPrefix(r.URL.Path, t.FailurePrefix) && rand.Float64() < t.FailureShare {
		t.rec.Logf("target %s has run %s, answers 500", t.ID, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", id, id, t.load())
		return err
	}
	t.rec.Logf("target %s has run %s, answers 200", t.ID, id)
	payload := "done " + id + "\n"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s", id, id, t.load(), len(payload), payload)
	return err
}
