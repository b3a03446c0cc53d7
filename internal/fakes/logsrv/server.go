// Package logsrv is an in-memory stand-in of the platform's log service with
// faults that are switched while it runs.
package logsrv

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
)

// FirstOffset is the offset of the first record, so that 0 can stand for "no
// revision yet".
const FirstOffset = 1

const (
	defaultLimit = 500
	maxRecord    = 1 << 20
)

// Faults are the faults that can be switched on. The zero value is a healthy
// service.
type Faults struct {
	// Down answers every request with 503.
	Down bool `json:"down"`
	// SlowMS delays every answer; an append takes effect before the delay.
	SlowMS float64 `json:"slow_ms"`
	// LoseAcks is the number of appends whose connection is broken after the
	// append took effect; -1 loses all.
	LoseAcks int `json:"lose_acks"`
	// Retain is the number of records kept; 0 keeps all.
	Retain int `json:"retain"`
	// AppendsPerSecond limits appends; 0 is no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Server is the service. It is safe for concurrent use.
type Server struct {
	mu         sync.Mutex
	generation int
	first      int64
	entries    []applog.Entry
	faults     Faults
	limiter    *rate.Limiter
}

// New returns an empty log without faults.
func New() *Server {
	return &Server{generation: 1, first: FirstOffset, limiter: rate.NewLimiter(rate.Inf, 1)}
}

// Handler serves the log at /v1/records and the faults at /faults. POST
// /faults/restart begins the log anew, POST /faults/truncate?drop=N takes
// records off its end.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", s.append)
	mux.HandleFunc("GET /v1/records", s.read)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("POST /faults/restart", func(http.ResponseWriter, *http.Request) { s.Reset() })
	mux.HandleFunc("POST /faults/truncate", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.FormValue("drop"))
		if err != nil || n < 0 {
			http.Error(w, "drop wants a number of records", http.StatusBadRequest)
			return
		}
		s.Truncate(n)
	})
	return mux
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	limit := rate.Inf
	if f.AppendsPerSecond > 0 {
		limit = rate.Limit(f.AppendsPerSecond)
	}
	s.limiter = rate.NewLimiter(limit, max(1, int(math.Ceil(f.AppendsPerSecond))))
	s.retain()
}

// Faults returns the faults that are switched on.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Reset begins the log anew, as a service does that lost its data.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.first = FirstOffset
	s.entries = nil
}

// Truncate takes n records off the end without a sign of it.
func (s *Server) Truncate(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = s.entries[:max(0, len(s.entries)-n)]
}

// Entries returns a copy of the records kept.
func (s *Server) Entries() []applog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]applog.Entry(nil), s.entries...)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecord))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, f)
}

// delay waits as the faults say. It reports false if the service is down.
func (s *Server) delay(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if f.SlowMS <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(f.SlowMS * float64(time.Millisecond))):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var rec applog.Record
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecord)).Decode(&rec); err != nil || rec.ID == "" {
		http.Error(w, "record expected", http.StatusBadRequest)
		return
	}
	f := s.Faults()
	if f.Down {
		s.delay(w, r, f)
		return
	}
	ack, lost, ok := s.add(rec)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if !s.delay(w, r, f) {
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, ack)
}

func (s *Server) add(rec applog.Record) (ack applog.Ack, lost, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		return ack, false, false
	}
	ack = applog.Ack{Offset: s.next(), Generation: s.name()}
	s.entries = append(s.entries, applog.Entry{Offset: ack.Offset, Record: rec})
	s.retain()
	if s.faults.LoseAcks != 0 {
		lost = true
		s.faults.LoseAcks = max(-1, s.faults.LoseAcks-1)
	}
	return ack, lost, true
}

func (s *Server) name() string { return fmt.Sprintf("g%d", s.generation) }

func (s *Server) next() int64 { return s.first + int64(len(s.entries)) }

func (s *Server) retain() {
	if n := len(s.entries) - s.faults.Retain; s.faults.Retain > 0 && n > 0 {
		s.first += int64(n)
		s.entries = append([]applog.Entry(nil), s.entries[n:]...)
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from wants an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > defaultLimit {
		limit = defaultLimit
	}
	if !s.delay(w, r, s.Faults()) {
		return
	}
	s.mu.Lock()
	b := applog.Batch{Generation: s.name(), FirstOffset: s.first, NextOffset: s.next()}
	if i := from - s.first; i >= 0 && i < int64(len(s.entries)) {
		end := min(i+int64(limit), int64(len(s.entries)))
		b.Entries = append([]applog.Entry(nil), s.entries[i:end]...)
	}
	s.mu.Unlock()
	if from < b.FirstOffset {
		w.WriteHeader(http.StatusGone)
		reply(w, applog.GoneReply{FirstOffset: b.FirstOffset})
		return
	}
	reply(w, b)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
