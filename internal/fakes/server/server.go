// Package server is a simulated upstream with faults that are switched while
// it runs.
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

// Faults are switched by POST /faults. The zero value is a healthy upstream.
type Faults struct {
	// SlowFactor multiplies the service time; zero is one.
	SlowFactor float64 `json:"slow_factor"`
	// FailRate is the share of requests that fail at once.
	FailRate float64 `json:"fail_rate"`
	// FailRoute limits failures and slowness to paths with this prefix.
	FailRoute string `json:"fail_route"`
	// CutRate is the share of responses that break off in the middle.
	CutRate float64 `json:"cut_rate"`
	// Cold restarts the upstream's warm-up.
	Cold bool `json:"cold"`
}

// Run is one request that the upstream ran.
type Run struct {
	RequestID   string  `json:"request"`
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	StartedAtMS float64 `json:"at_ms"`
	// Done is false while the request runs and after it was cancelled.
	Done       bool   `json:"done"`
	BodyBytes  int64  `json:"bytes"`
	BodySHA256 string `json:"sha256"`
}

// Server is a simulated upstream. It is safe for concurrent use.
type Server struct {
	version string
	slots   chan struct{}
	service clock.Milli
	warmup  clock.Milli

	mu     sync.Mutex
	faults Faults
	epoch  time.Time
	runs   []*Run
}

// Option changes a Server.
type Option func(*Server)

// WithServiceTime sets the mean service time of a request.
func WithServiceTime(d clock.Milli) Option {
	return func(s *Server) { s.service = d }
}

// WithWarmup sets how long a cold upstream is slow.
func WithWarmup(d clock.Milli) Option {
	return func(s *Server) { s.warmup = d }
}

// WithVersion sets the version reported in responses.
func WithVersion(v string) Option {
	return func(s *Server) { s.version = v }
}

// New returns an upstream with a number of slots.
func New(slots int, opts ...Option) *Server {
	s := &Server{slots: make(chan struct{}, slots), service: 5, epoch: time.Now()}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler serves requests, /faults, /runs and /healthz.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.serve)
	return mux
}

// SetFaults switches faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Cold {
		s.epoch = time.Now()
	}
	s.faults = f
}

// Runs returns copies of the requests that were run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
	}
	return out
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// serve runs one request: it takes a slot, reads the body, works for the
// service time and echoes what it read.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	run, f, epoch := s.begin(r)
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
	if err != nil || !s.work(r.Context(), f, affected, epoch) {
		return
	}
	sum := hex.EncodeToString(hash.Sum(nil))
	s.end(run, n, sum)
	s.respond(w, r, f, run, sum)
}

func (s *Server) begin(r *http.Request) (*Run, Faults, time.Time) {
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

func (s *Server) end(run *Run, n int64, sum string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Done, run.BodyBytes, run.BodySHA256 = true, n, sum
}

// work waits for the service time, which is exponential around the mean.
func (s *Server) work(ctx context.Context, f Faults, affected bool, epoch time.Time) bool {
	d := float64(s.service) * rand.ExpFloat64()
	if affected && f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	if age := clock.FromDuration(time.Since(epoch)); age < s.warmup {
		d *= 1 + 4*float64((s.warmup-age)/s.warmup)
	}
	return clock.Sleep(ctx, clock.Milli(d))
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
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}
