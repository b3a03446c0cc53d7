//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxClientRetries is how often a client tries a request again.
const maxClientRetries = 1

// Answer is what a client got for one attempt.
type Answer struct {
	SentAt  time.Duration
	At      time.Duration
	ID      string
	Path    string
	Booking bool
	// Status is 0 if the client got no complete answer.
	Status int
	Signed bool
	Body   string
	// Job names the work of which this is an attempt.
	Job string
}

// Clients send requests to the daemons of their machines.
type Clients struct {
	rec     *Recorder
	fleet   *Fleet
	clients []*http.Client
	// machines is the number of machines that have clients: those of the first start.
	machines int

	mu      sync.Mutex
	answers []Answer
	wg      sync.WaitGroup
}

// NewClients returns clients with kept connections.
func NewClients(f *Fleet) *Clients {
	c := &Clients{rec: f.rec, fleet: f}
	c.machines = len(f.Machines)
	for range f.Machines {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 12 * time.Second, DisableCompression: true}})
	}
	return c
}

// Load sends perSecond requests at each machine for a time, a share of them bookings.
func (c *Clients) Load(ctx context.Context, perSecond, bookingShare float64) {
	for i := range c.machines {
		c.wg.Add(1)
		go c.loadMachine(ctx, i, perSecond, bookingShare)
	}
}

func (c *Clients) loadMachine(ctx context.Context, i int, perSecond, bookingShare float64) {
	defer c.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		job := fmt.Sprintf("job-%d-%d", i, n)
		booking := rand.Float64() < bookingShare
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.Do(i, job, booking)
		}()
	}
}

// Do sends one request and tries it again as the pages allow.
func (c *Clients) Do(machine int, job string, booking bool) {
	limit := 1500 * time.Millisecond
	if booking {
		limit = 2 * time.Second
	}
	deadline := time.Now().Add(limit)
	for try := 0; ; try++ {
		a, retryAfter, mayRetry := c.attempt(machine, job, booking, time.Until(deadline))
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		wait := min(retryAfter, time.Until(deadline)/3)
		if !mayRetry || try >= maxClientRetries || time.Until(deadline) < 50*time.Millisecond {
			return
		}
		time.Sleep(wait)
	}
}

func (c *Clients) attempt(machine int, job string, booking bool, left time.Duration) (a Answer, retryAfter time.Duration, mayRetry bool) {
	a = Answer{ID: fmt.Sprintf("%016x", rand.Uint64()), Booking: booking, Job: job, SentAt: c.rec.Now()}
	method, prefix, body := http.MethodGet, prefixLookup, io.Reader(nil)
	if booking {
		method, prefix, body = http.MethodPost, prefixBooking, strings.NewReader("book "+job+"\n")
	}
	a.Path = prefix + job
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	m := c.fleet.Machines[machine]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound()+a.Path, body)
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Request-Id", a.ID)
	req.Header.Set("Request-Deadline-Ms", strconv.Itoa(int(left.Milliseconds())))
	c.rec.Logf("client sends %s %s %s to %s", a.ID, method, a.Path, m.Name)
	resp, err := c.clients[machine].Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			a.Status, a.Signed, a.Body = resp.StatusCode, resp.Header.Get("Response-Signature") != "", string(b)
		}
	}
	a.At = c.rec.Now()
	c.rec.Logf("client gets %d for %s signed=%v err=%v", a.Status, a.ID, a.Signed, err)
	if err != nil || resp == nil {
		return a, 0, !booking
	}
	if seconds, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return a, retryAfter, true
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return a, retryAfter, !booking
	default:
		return a, 0, false
	}
}

// Wait waits for all requests.
func (c *Clients) Wait() { c.wg.Wait() }

// Answers returns what all clients got.
func (c *Clients) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}
