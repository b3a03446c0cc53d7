package deploy

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
	lookupsPerSecond  = 900
	bookingsPerSecond = 100
	uploadsPerSecond  = 4
	checksPerSecond   = 15
	uploadBytes       = 400 << 10
)

// RequestResult is one request and what its caller was told.
type RequestResult struct {
	Kind       string
	Path       string
	StartedAt  time.Time
	Duration   time.Duration
	Status     int
	Outcome    string
	Reason     string
	RequestID  string
	BodySHA256 string
	// Problem says what is wrong with the answer, empty for nothing.
	Problem string
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// EntryNode is the daemon whose entry took the request.
	EntryNode *Node
}

// LoadGenerator sends requests at a fixed rate, whatever the answers.
type LoadGenerator struct {
	world  *Deployment
	client *http.Client
	rand   *rand.Rand

	mu  sync.Mutex
	all []RequestResult
	wg  sync.WaitGroup
}

// NewLoadGenerator returns traffic to the entries of a world.
func NewLoadGenerator(w *Deployment) *LoadGenerator {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return &LoadGenerator{world: w, client: &http.Client{Transport: t, Timeout: 10 * time.Second}, rand: rand.New(rand.NewPCG(1, 2))}
}

// Run sends until ctx ends and waits for the last answers.
func (t *LoadGenerator) Run(ctx context.Context) {
	total := lookupsPerSecond + bookingsPerSecond + uploadsPerSecond + checksPerSecond
	tick := time.NewTicker(time.Second / time.Duration(total))
	defer tick.Stop()
	entries := append([]*Node(nil), t.world.Nodes...)
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
	kind, method, host, path string
	at                       *Node
	body                     []byte
	class                    string
}

func (t *LoadGenerator) next(n, draw int, at *Node) outgoing {
	o := outgoing{kind: "lookup", method: http.MethodGet, host: "booking", path: fmt.Sprintf("/schedule/%d", n), at: at}
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

func (t *LoadGenerator) send(o outgoing) {
	s := RequestResult{Kind: o.kind, Path: o.path, StartedAt: time.Now(), EntryNode: o.at, Repeatable: o.method == http.MethodGet}
	req, err := http.NewRequest(o.method, "http://"+o.at.EntryAddr+o.path, bytes.NewReader(o.body))
	if err != nil {
		s.Problem = err.Error()
		t.keep(s)
		return
	}
	req.Host = o.host
	if o.class != "" {
		req.Header.Set(header.Class, o.class)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		s.Problem = err.Error()
		t.keep(s)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.Duration = time.Since(s.StartedAt)
	s.Status, s.Outcome = resp.StatusCode, resp.Header.Get(header.Outcome)
	s.Reason, s.RequestID = resp.Header.Get(header.Reason), resp.Header.Get(header.RequestID)
	sum := sha256.Sum256(o.body)
	s.BodySHA256 = hex.EncodeToString(sum[:])
	if err != nil {
		s.Problem = "response cut short: " + err.Error()
	} else if s.Status == http.StatusOK {
		s.Problem = compare(body, s)
	}
	t.keep(s)
}

// compare checks that the answer belongs to the request.
func compare(body []byte, s RequestResult) string {
	var echo struct{ Request, Path, SHA256 string }
	if err := json.Unmarshal(body, &echo); err != nil {
		return "answer is not whole: " + err.Error()
	}
	if echo.Request != s.RequestID || echo.Path != s.Path || echo.SHA256 != s.BodySHA256 {
		return "answer belongs to another request"
	}
	return ""
}

// Results returns the requests that have ended.
func (t *LoadGenerator) Results() []RequestResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]RequestResult(nil), t.all...)
}

func (t *LoadGenerator) keep(s RequestResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, s)
}
