// Package server implements a simulated upstream whose faults can be changed at
// run time.
package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// Faults is the body of PUT /faults. The zero value is a healthy upstream.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailRate is the fraction of requests that fail immediately.
	FailRate float64 `json:"fail_rate"`
	// FailRoute limits FailRate and SlowFactor to paths with this prefix; empty
	// means all paths.
	FailRoute string `json:"fail_route"`
	// CutRate is the fraction of responses whose connection is closed after half
	// of the body.
	CutRate float64 `json:"cut_rate"`
	// Cold starts the upstream's warm-up again.
	Cold bool `json:"cold"`
}

// Run is a request that the upstream received, in the encoding of GET /runs.
type Run struct {
	RequestID   string  `json:"request"`
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	StartedAtMS float64 `json:"at_ms"`
	// Done is false until the request has been served; it stays false if the
	// request fails or is cancelled.
	Done       bool   `json:"done"`
	BodyBytes  int64  `json:"bytes"`
	BodySHA256 string `json:"sha256"`
}

// Server is a simulated upstream. It is safe for concurrent use.
type Server struct {
	version         string
	slots           chan struct{}
	meanServiceTime clock.Milli
	warmup          clock.Milli

	mu     sync.Mutex
	faults Faults
	epoch  time.Time
	runs   []*Run
}

// Option configures a Server.
type Option func(*Server)

// WithServiceTime sets the mean service time of a request; the default is 5 ms.
func WithServiceTime(d clock.Milli) Option {
	return func(s *Server) { s.meanServiceTime = d }
}

// WithWarmup sets how long a cold upstream is slow: its service time falls from
// five times the usual one to the usual one over d.
func WithWarmup(d clock.Milli) Option {
	return func(s *Server) { s.warmup = d }
}

// WithVersion sets the version reported in response bodies.
func WithVersion(v string) Option {
	return func(s *Server) { s.version = v }
}

// New returns a cold upstream that serves up to slots requests concurrently.
func New(slots int, opts ...Option) *Server {
	s := &Server{slots: make(chan struct{}, slots), meanServiceTime: 5, epoch: time.Now()}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns a handler that serves /faults, /runs and /healthz and treats
// every other path as a request to the upstream.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", s.handlePutFaults)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// SetFaults replaces the faults. They apply to requests that arrive later.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Cold {
		s.epoch = time.Now()
	}
	s.faults = f
}

// Runs returns copies of all recorded requests in the order of their arrival.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
	}
	return out
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// handleCall waits for a free slot, reads the body, sleeps for the service time
// and responds with the hash of the body.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	run, f, epoch := s.recordStart(r)
	w.Header().Set(header.Epoch, strconv.FormatInt(epoch.UnixMilli(), 10))
	affected := f.FailRoute == "" || len(r.URL.Path) >= len(f.FailRoute) && r.URL.Path[:len(f.FailRoute)] == f.FailRoute
	if affected && rand.Float64() < f.FailRate {
		http.Error(w, "simulated failure", http.StatusInternalServerError)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil || !s.sleepServiceTime(r.Context(), f, affected, epoch) {
		return
	}
	sum := hex.EncodeToString(hash.Sum(nil))
	s.recordEnd(run, n, sum)
	s.respond(w, r, f, run, sum)
}

func (s *Server) recordStart(r *http.Request) (*Run, Faults, time.Time) {
	run := &Run{
		RequestID:   r.Header.Get(header.RequestID),
		Method:      r.Method,
		Path:        r.URL.Path,
		StartedAtMS: float64(clock.FromTime(time.Now())),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return run, s.faults, s.epoch
}

func (s *Server) recordEnd(run *Run, n int64, sum string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Done, run.BodyBytes, run.BodySHA256 = true, n, sum
}

// sleepServiceTime sleeps for a service time drawn from an exponential
// distribution. It returns false if ctx is done first.
func (s *Server) sleepServiceTime(ctx context.Context, f Faults, affected bool, epoch time.Time) bool {
	duration := float64(s.meanServiceTime) * rand.ExpFloat64()
	if affected && f.SlowFactor > 0 {
		duration *= f.SlowFactor
	}
	if age := clock.FromDuration(time.Since(epoch)); age < s.warmup {
		duration *= 1 + 4*float64((s.warmup-age)/s.warmup)
	}
	return clock.Sleep(ctx, clock.Milli(duration))
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, f Faults, run *Run, sum string) {
	out, err := json.Marshal(map[string]string{
		"request": run.RequestID,
		"path":    r.URL.Path,
		"sha256":  sum,
		"version": s.version,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if rand.Float64() < f.CutRate {
		_, _ = w.Write(out[:len(out)/2])
		// Without a flush, the buffered half is discarded with the connection.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}
