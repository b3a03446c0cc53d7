package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

const (
	lookupsPerSecond  = 120
	bookingsPerSecond = 25
	uploadsPerSecond  = 4
	checksPerSecond   = 15
	uploadBytes       = 400 << 10
)

// sent is one request of the demo and what its caller was told.
type sent struct {
	kind    string
	path    string
	began   time.Time
	took    time.Duration
	status  int
	outcome string
	reason  string
	request string
	hash    string
	problem string
}

// traffic sends requests at a fixed rate, whatever the answers.
type traffic struct {
	world  *world
	client *http.Client
	rand   *rand.Rand

	mu  sync.Mutex
	all []sent
	wg  sync.WaitGroup
}

func newTraffic(w *world) *traffic {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return &traffic{world: w, client: &http.Client{Transport: t, Timeout: 10 * time.Second}, rand: rand.New(rand.NewPCG(1, 2))}
}

// run sends until ctx ends and waits for the last answers.
func (t *traffic) run(ctx context.Context) {
	total := lookupsPerSecond + bookingsPerSecond + uploadsPerSecond + checksPerSecond
	tick := time.NewTicker(time.Second / time.Duration(total))
	defer tick.Stop()
	entries := append([]*node(nil), t.world.nodes...)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			t.wg.Wait()
			return
		case <-tick.C:
			req := t.next(n, t.rand.IntN(total), entries[t.rand.IntN(len(entries))])
			t.wg.Go(func() { t.send(req) })
		}
	}
}

type outgoing struct {
	kind, method, host, path, entry string
	body                            []byte
	class                           string
}

func (t *traffic) next(n, draw int, at *node) outgoing {
	o := outgoing{kind: "lookup", method: http.MethodGet, host: "booking", path: fmt.Sprintf("/schedule/%d", n), entry: at.entry}
	switch {
	case draw < bookingsPerSecond:
		o.kind, o.method, o.path, o.body = "booking", http.MethodPost, fmt.Sprintf("/bookings/%d", n), []byte(`{"wall":4}`)
	case draw < bookingsPerSecond+uploadsPerSecond:
		o.kind, o.method, o.host, o.path = "upload", http.MethodPost, "media", fmt.Sprintf("/scans/%d", n)
		o.body = bytes.Repeat([]byte{byte(n)}, uploadBytes)
	case draw < bookingsPerSecond+uploadsPerSecond+checksPerSecond:
		o.kind, o.host, o.path, o.class = "wear check", "media", fmt.Sprintf("/wear/%d", n), "background"
	case draw%3 == 0:
		o.host, o.path = "media", fmt.Sprintf("/holds/%d", n)
	}
	return o
}

func (t *traffic) send(o outgoing) {
	s := sent{kind: o.kind, path: o.path, began: time.Now()}
	req, err := http.NewRequest(o.method, "http://"+o.entry+o.path, bytes.NewReader(o.body))
	if err != nil {
		s.problem = err.Error()
		t.keep(s)
		return
	}
	req.Host = o.host
	if o.class != "" {
		req.Header.Set(header.Class, o.class)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		s.problem = err.Error()
		t.keep(s)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.took = time.Since(s.began)
	s.status, s.outcome = resp.StatusCode, resp.Header.Get(header.Outcome)
	s.reason, s.request = resp.Header.Get(header.Reason), resp.Header.Get(header.RequestID)
	sum := sha256.Sum256(o.body)
	s.hash = hex.EncodeToString(sum[:])
	if err != nil {
		s.problem = "response cut short: " + err.Error()
	} else if s.status == http.StatusOK {
		s.problem = compare(body, s)
	}
	t.keep(s)
}

// compare checks that the answer belongs to the request.
func compare(body []byte, s sent) string {
	var echo struct{ Request, Path, SHA256 string }
	if err := json.Unmarshal(body, &echo); err != nil {
		return "answer is not whole: " + err.Error()
	}
	if echo.Request != s.request || echo.Path != s.path || echo.SHA256 != s.hash {
		return "answer belongs to another request"
	}
	return ""
}

func (t *traffic) keep(s sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, s)
}
