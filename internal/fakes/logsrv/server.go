// Package logsrv implements an in-memory fake of the platform's log service
// whose faults can be changed at run time.
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

// FirstOffset is the offset of the first record. It is not 0, so that 0 can
// represent the absence of a revision.
const FirstOffset = 1

const (
	maxReadRecords = 500
	maxBodyBytes   = 1 << 20
)

// Faults is the body of PUT /faults. The zero value is a healthy service.
type Faults struct {
	// Down makes the service respond to every request with 503.
	Down bool `json:"down"`
	// SlowMS is the delay of every response in milliseconds; an append takes
	// effect before the delay.
	SlowMS float64 `json:"slow_ms"`
	// LoseAcks is the number of appends that take effect but whose connection is
	// closed without a response; -1 means all.
	LoseAcks int `json:"lose_acks"`
	// Retain is the number of newest records to keep; 0 keeps all.
	Retain int `json:"retain"`
	// AppendsPerSecond limits the rate of appends; 0 means no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Server is the fake log service. It is safe for concurrent use.
type Server struct {
	mu          sync.Mutex
	generation  int
	firstOffset int64
	entries     []applog.Entry
	faults      Faults
	limiter     *rate.Limiter
}

// New returns a service with an empty log and no faults.
func New() *Server {
	return &Server{generation: 1, firstOffset: FirstOffset, limiter: rate.NewLimiter(rate.Inf, 1)}
}

// Handler returns a handler that serves the log at /v1/records and the faults at
// /faults. POST /faults/restart calls Reset, POST /faults/truncate?drop=N calls
// Truncate.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", s.handleAppend)
	mux.HandleFunc("GET /v1/records", s.handleRead)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", s.handlePutFaults)
	mux.HandleFunc("POST /faults/restart", func(http.ResponseWriter, *http.Request) { s.Reset() })
	mux.HandleFunc("POST /faults/truncate", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.FormValue("drop"))
		if err != nil || n < 0 {
			http.Error(w, "drop must be a number of records", http.StatusBadRequest)
			return
		}
		s.Truncate(n)
	})
	return mux
}

// SetFaults replaces the faults and drops the records beyond f.Retain.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	limit := rate.Inf
	if f.AppendsPerSecond > 0 {
		limit = rate.Limit(f.AppendsPerSecond)
	}
	s.limiter = rate.NewLimiter(limit, max(1, int(math.Ceil(f.AppendsPerSecond))))
	s.applyRetention()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Reset discards all records and starts a new generation, as after a loss of the
// service's data.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.firstOffset = FirstOffset
	s.entries = nil
}

// Truncate drops the newest n records without starting a new generation, so
// clients can't detect it from the generation.
func (s *Server) Truncate(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = s.entries[:max(0, len(s.entries)-n)]
}

// Entries returns a copy of the retained records.
func (s *Server) Entries() []applog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]applog.Entry(nil), s.entries...)
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// simulateFaults responds with 503 if the service is down and otherwise waits for
// the configured delay. It returns false if the request must not be processed
// further.
func (s *Server) simulateFaults(w http.ResponseWriter, r *http.Request, f Faults) bool {
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

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var rec applog.Record
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&rec); err != nil || rec.ID == "" {
		http.Error(w, "body must be a record with an id", http.StatusBadRequest)
		return
	}
	f := s.Faults()
	if f.Down {
		s.simulateFaults(w, r, f)
		return
	}
	ack, ackLost, ok := s.appendRecord(rec)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if !s.simulateFaults(w, r, f) {
		return
	}
	if ackLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, ack)
}

func (s *Server) appendRecord(rec applog.Record) (ack applog.Ack, ackLost, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		return ack, false, false
	}
	ack = applog.Ack{Offset: s.nextOffset(), Generation: s.generationName()}
	s.entries = append(s.entries, applog.Entry{Offset: ack.Offset, Record: rec})
	s.applyRetention()
	if s.faults.LoseAcks != 0 {
		ackLost = true
		s.faults.LoseAcks = max(-1, s.faults.LoseAcks-1)
	}
	return ack, ackLost, true
}

func (s *Server) generationName() string { return fmt.Sprintf("g%d", s.generation) }

func (s *Server) nextOffset() int64 { return s.firstOffset + int64(len(s.entries)) }

func (s *Server) applyRetention() {
	if n := len(s.entries) - s.faults.Retain; s.faults.Retain > 0 && n > 0 {
		s.firstOffset += int64(n)
		s.entries = append([]applog.Entry(nil), s.entries[n:]...)
	}
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	if !s.simulateFaults(w, r, s.Faults()) {
		return
	}
	s.mu.Lock()
	b := applog.Batch{Generation: s.generationName(), FirstOffset: s.firstOffset, NextOffset: s.nextOffset()}
	if i := from - s.firstOffset; i >= 0 && i < int64(len(s.entries)) {
		end := min(i+int64(limit), int64(len(s.entries)))
		b.Entries = append([]applog.Entry(nil), s.entries[i:end]...)
	}
	s.mu.Unlock()
	if from < b.FirstOffset {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, applog.GoneReply{FirstOffset: b.FirstOffset})
		return
	}
	writeJSON(w, b)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
