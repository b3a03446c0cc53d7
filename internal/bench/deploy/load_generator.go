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
	lookupsPerSecond    = 900
	bookingsPerSecond   = 100
	uploadsPerSecond    = 4
	wearChecksPerSecond = 15
	uploadBytes         = 400 << 10
)

// RequestResult describes a request and the response that its caller received.
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
	// Problem describes what is wrong with the response; empty means nothing.
	Problem string
	// Repeatable reports whether the upstreams may run the request more than once.
	Repeatable bool
	// EntryNode is the node whose entry received the request.
	EntryNode *Node
}

// LoadGenerator sends requests at a fixed rate, independent of the responses.
type LoadGenerator struct {
	deployment *Deployment
	client     *http.Client
	rand       *rand.Rand

	mu      sync.Mutex
	results []RequestResult
	wg      sync.WaitGroup
}

// NewLoadGenerator returns a generator that sends requests to the entries of all
// nodes.
func NewLoadGenerator(d *Deployment) *LoadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &LoadGenerator{deployment: d, client: &http.Client{Transport: transport, Timeout: 10 * time.Second}, rand: rand.New(rand.NewPCG(1, 2))}
}

// Run sends requests until ctx is done, then waits for the outstanding responses.
func (g *LoadGenerator) Run(ctx context.Context) {
	total := lookupsPerSecond + bookingsPerSecond + uploadsPerSecond + wearChecksPerSecond
	tick := time.NewTicker(time.Second / time.Duration(total))
	defer tick.Stop()
	entries := append([]*Node(nil), g.deployment.Nodes...)
	for seq := 0; ; seq++ {
		select {
		case <-ctx.Done():
			g.wg.Wait()
			return
		case <-tick.C:
			req := g.nextRequest(seq, g.rand.IntN(total), entries[g.rand.IntN(len(entries))])
			g.wg.Go(func() { g.send(req) })
		}
	}
}

type outgoingRequest struct {
	kind, method, host, path string
	entryNode                *Node
	body                     []byte
	class                    string
}

func (g *LoadGenerator) nextRequest(seq, draw int, entryNode *Node) outgoingRequest {
	req := outgoingRequest{kind: "lookup", method: http.MethodGet, host: "booking", path: fmt.Sprintf("/schedule/%d", seq), entryNode: entryNode}
	switch {
	case draw < bookingsPerSecond:
		req.kind, req.method, req.path, req.body = "booking", http.MethodPost, fmt.Sprintf("/bookings/%d", seq), []byte(`{"wall":4}`)
	case draw < bookingsPerSecond+uploadsPerSecond:
		req.kind, req.method, req.host, req.path = "upload", http.MethodPost, "media", fmt.Sprintf("/scans/%d", seq)
		req.body = bytes.Repeat([]byte{byte(seq)}, uploadBytes)
	case draw < bookingsPerSecond+uploadsPerSecond+wearChecksPerSecond:
		req.kind, req.host, req.path, req.class = "wear check", "media", fmt.Sprintf("/wear/%d", seq), "background"
	case draw%3 == 0:
		req.host, req.path = "media", fmt.Sprintf("/holds/%d", seq)
	}
	return req
}

func (g *LoadGenerator) send(o outgoingRequest) {
	result := RequestResult{Kind: o.kind, Path: o.path, StartedAt: time.Now(), EntryNode: o.entryNode, Repeatable: o.method == http.MethodGet}
	req, err := http.NewRequest(o.method, "http://"+o.entryNode.EntryAddr+o.path, bytes.NewReader(o.body))
	if err != nil {
		result.Problem = err.Error()
		g.record(result)
		return
	}
	req.Host = o.host
	if o.class != "" {
		req.Header.Set(header.Class, o.class)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		result.Problem = err.Error()
		g.record(result)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	result.Duration = time.Since(result.StartedAt)
	result.Status, result.Outcome = resp.StatusCode, resp.Header.Get(header.Outcome)
	result.Reason, result.RequestID = resp.Header.Get(header.Reason), resp.Header.Get(header.RequestID)
	sum := sha256.Sum256(o.body)
	result.BodySHA256 = hex.EncodeToString(sum[:])
	if err != nil {
		result.Problem = "response truncated: " + err.Error()
	} else if result.Status == http.StatusOK {
		result.Problem = checkEcho(body, result)
	}
	g.record(result)
}

// checkEcho checks that the response body echoes the request's ID, path and body
// hash. It returns a description of the problem, or an empty string.
func checkEcho(body []byte, result RequestResult) string {
	var echo struct{ Request, Path, SHA256 string }
	if err := json.Unmarshal(body, &echo); err != nil {
		return "response body is not valid JSON: " + err.Error()
	}
	if echo.Request != result.RequestID || echo.Path != result.Path || echo.SHA256 != result.BodySHA256 {
		return "response belongs to another request"
	}
	return ""
}

// Results returns a copy of the results of all finished requests.
func (g *LoadGenerator) Results() []RequestResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]RequestResult(nil), g.results...)
}

func (g *LoadGenerator) record(result RequestResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
}
