//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	targetSlots    = 6
	targetQueue    = 12
	beatInterval   = 1500 * time.Millisecond
	workSpread     = 0.3
	maxAckBytes    = 4 << 10
	ackTimeout     = time.Second
	defaultVersion = "v1"
)

// arrival is a request that reached a target.
type arrival struct {
	id       string
	instance string
	at       time.Time
}

// target is a stand-in of an application target. It answers with its load, runs a few requests
// at once and queues some more.
type target struct {
	rig      *rig
	machine  *machine
	service  string
	instance string
	version  string
	born     int64
	work     time.Duration
	server   *http.Server
	slots    chan struct{}

	mu       sync.Mutex
	sequence int
	phase    string
	running  int
	queued   int
	arrivals []arrival
	// bodyBytes is the least size of the answers.
	bodyBytes int
	// failShare is the share of the requests that end with 500.
	failShare float64
	// ran has the ids of the requests that ran.
	ran map[string]bool
	// silent ends the heartbeats.
	silent bool
	// gone is set when the target considers itself leaving.
	gone bool
}

func newTarget(m *machine, service string, work time.Duration) *target {
	t := &target{
		rig: m.rig, machine: m, service: service, instance: fmt.Sprintf("i-%08x", rand.Uint32()), version: defaultVersion,
		born: time.Now().UnixMilli(), work: work, phase: "ready", slots: make(chan struct{}, targetSlots), ran: make(map[string]bool),
	}
	l, err := net.Listen("tcp", m.appAddr)
	check(err)
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }()
	return t
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", t.running, t.queued, targetSlots))
	gone := t.gone
	t.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", t.instance)
		if gone {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Target-Instance"); want != "" && want != t.instance {
		w.Header().Set("Instance-Id", t.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id: id, instance: t.instance, at: time.Now()})
	full := t.queued >= targetQueue
	if !full {
		t.queued++
	}
	t.mu.Unlock()
	t.rig.record("arrives", "target", t.instance, "request", id, "deadline_ms", r.Header.Get("Request-Deadline-Ms"))
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	t.run(w, r, id)
}

// run waits for a slot and works.
func (t *target) run(w http.ResponseWriter, r *http.Request, id string) {
	ms, _ := strconv.ParseFloat(r.Header.Get("Request-Deadline-Ms"), 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
	defer cancel()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		t.count(-1, 0)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.count(-1, 1)
	defer func() {
		<-t.slots
		t.count(0, -1)
	}()
	t.mu.Lock()
	t.ran[id] = true
	padding := bytes.Repeat([]byte("."), t.bodyBytes)
	t.mu.Unlock()
	t.rig.record("runs", "target", t.instance, "service", t.service, "version", t.version, "request", id)
	work := time.Duration(float64(t.work) * (1 - workSpread + 2*workSpread*rand.Float64()))
	w.Header().Set("Response-Signature", "signed."+t.instance+"."+id)
	select {
	case <-time.After(work):
		if rand.Float64() < t.failShare {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		body := append([]byte(t.service+" "+t.version+" "+r.URL.Path), padding...)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func (t *target) count(queued, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queued += queued
	t.running += running
}

// beatLoop sends heartbeats until ctx ends or the target is silent.
func (t *target) beatLoop(ctx context.Context) {
	for {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if silent {
			return
		}
		t.beat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// silence ends the heartbeats.
func (t *target) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
}

// beatBody returns the body of the next heartbeat.
func (t *target) beatBody() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	data, err := json.Marshal(map[string]any{
		"backend": t.service, "address": t.machine.appAddr, "zone": t.machine.zone, "version": t.version, "capacity": targetSlots,
		"phase": t.phase, "cold_remaining_ms": 0, "sequence": t.sequence, "born": t.born,
	})
	check(err)
	return data
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (t *target) beat() bool {
	return t.tell("heartbeat", t.beatBody())
}

// tell sends a call to the control address and reports whether it was acknowledged.
func (t *target) tell(call string, body []byte) bool {
	client := &http.Client{Timeout: ackTimeout}
	resp, err := client.Post("http://"+t.machine.control+"/instances/"+t.instance+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		t.rig.record("not_acknowledged", "target", t.instance, "call", call, "error", err.Error())
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAckBytes))
	ok := resp.StatusCode/100 == 2
	t.rig.record("told", "target", t.instance, "call", call, "body", string(body), "status", strconv.Itoa(resp.StatusCode))
	return ok
}

// hasRun reports whether the target ran a request.
func (t *target) hasRun(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// arrivalsAfter returns the requests that arrived after an instant.
func (t *target) arrivalsAfter(at time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []arrival
	for _, a := range t.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}
