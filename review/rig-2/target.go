//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatRetry    = 200 * time.Millisecond
	targetSlots       = 6
	targetQueue       = 12
	// defaultWork is how long a target works on a request, unless a case says otherwise.
	defaultWork = 60 * time.Millisecond
	// targetIdleTimeout is when a target closes an idle connection.
	targetIdleTimeout = 10 * time.Second
	healthPath        = "/healthz"
)

// runOf is one run of a request at a target.
type runOf struct {
	id, method, uri, instance, version string
	at                                 time.Time
}

// Phases in heartbeats.
const (
	phaseReady    = "ready"
	phaseDraining = "draining"
)

// target is an application beside a daemon.
type target struct {
	deployment *deployment
	service    string
	zone       string
	instance   string
	version    string
	control    string
	born       int64
	listener   net.Listener
	done       chan struct{}
	closeOnce  sync.Once

	mu       sync.Mutex
	conns    map[net.Conn]bool
	inside   int
	sequence int
	phase    string
	// work is how long the target works on a request.
	work time.Duration
	// fails says whether a request that was run is answered with 500.
	fails func(r *http.Request) bool
	// loses says whether the answer to a request that was run is lost. The connection is
	// reset instead.
	loses func(r *http.Request) bool
}

func newTarget(m *machine, instance, version string) (*target, error) {
	l, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		return nil, err
	}
	t := &target{
		deployment: m.deployment, service: m.service, zone: m.zone, instance: instance, version: version,
		control: m.addr(portControl), born: time.Now().UnixMilli(), listener: l, done: make(chan struct{}),
		conns: make(map[net.Conn]bool), phase: phaseReady, work: m.deployment.work, fails: never, loses: never,
	}
	go t.accept()
	go t.beat()
	return t, nil
}

func (t *target) setLoses(f func(r *http.Request) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loses = f
}

// never is a fault that does not happen.
func never(*http.Request) bool { return false }

func (t *target) setFails(f func(r *http.Request) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fails = f
}

func (t *target) close() {
	t.closeOnce.Do(func() { close(t.done) })
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

// beat sends heartbeats to the daemon on the target's machine.
func (t *target) beat() {
	for {
		wait := heartbeatInterval
		if !t.sendHeartbeat() {
			// The daemon does not listen yet.
			wait = heartbeatRetry
		}
		select {
		case <-time.After(wait):
		case <-t.done:
			return
		}
	}
}

// sendHeartbeat reports whether the daemon acknowledged a heartbeat.
func (t *target) sendHeartbeat() bool {
	t.mu.Lock()
	t.sequence++
	body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":%q,"capacity":%d,"phase":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		t.service, t.listener.Addr(), t.zone, t.version, targetSlots, t.phase, t.sequence, t.born)
	t.mu.Unlock()
	return t.post("heartbeat", body)
}

// deregister says that the target ends.
func (t *target) deregister() {
	t.post("deregister", fmt.Sprintf(`{"born":%d}`, t.born))
}

// post sends a message about the target to its daemon and reports whether that answered 200.
func (t *target) post(what, body string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+t.control+"/instances/"+t.instance+"/"+what, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// drain makes the target report that it drains, and waits until the daemon acknowledged it.
func (t *target) drain() {
	t.mu.Lock()
	t.phase = phaseDraining
	t.mu.Unlock()
	acknowledged := t.sendHeartbeat()
	t.deployment.record.printf("drain    %s of %s reports draining, acknowledged=%t", t.instance, t.version, acknowledged)
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c)
	}
}

// serve handles the requests of a connection, one at a time.
func (t *target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(targetIdleTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(r.Body)
		if err != nil || !t.handle(c, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (t *target) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	switch {
	case r.URL.Path == healthPath:
		return t.answer(c, t.healthStatus(), map[string]string{"Instance-Id": t.instance}, nil)
	case r.Header.Get("Target-Instance") != t.instance:
		return t.answer(c, http.StatusMisdirectedRequest, map[string]string{"Instance-Id": t.instance, "Request-Id": id}, nil)
	case !t.enter():
		return t.answer(c, http.StatusServiceUnavailable, map[string]string{"Not-Executed": "1", "Request-Id": id}, nil)
	}
	defer t.leave()
	t.deployment.recordRun(runOf{id: id, method: r.Method, uri: r.RequestURI, instance: t.instance, version: t.version, at: time.Now()})
	time.Sleep(t.work)
	t.mu.Lock()
	lost, fails := t.loses(r), t.fails(r)
	t.mu.Unlock()
	if lost {
		t.deployment.record.printf("lost     %s the answer of %s is lost, the connection is reset", id, t.instance)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	status := http.StatusOK
	if fails {
		status = http.StatusInternalServerError
	}
	signature := "rig." + id
	return t.answer(c, status, map[string]string{"Request-Id": id, "Response-Signature": signature}, []byte("done "+id+" "+string(body)))
}

func (t *target) healthStatus() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseDraining {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inside >= targetSlots+targetQueue {
		return false
	}
	t.inside++
	return true
}

func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inside--
}

func (t *target) answer(c net.Conn, status int, headers map[string]string, body []byte) bool {
	t.mu.Lock()
	running := min(targetSlots, t.inside)
	load := fmt.Sprintf("%d,%d,%d,100", running, t.inside-running, targetSlots)
	t.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nServer-Load: %s\r\n", status, http.StatusText(status), len(body), load)
	for name, v := range headers {
		fmt.Fprintf(&out, "%s: %s\r\n", name, v)
	}
	out.WriteString("\r\n")
	out.Write(body)
	_, err := c.Write(out.Bytes())
	return err == nil
}
