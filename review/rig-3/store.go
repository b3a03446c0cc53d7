//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRecord is one record of a topic.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store with one partition for each topic. It keeps all
// records.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	topics  map[string][]storeRecord
	// down has the topics whose partition answers 503; "*" stands for all of them.
	down map[string]bool
}

func newStore() *store {
	s := &store{topics: make(map[string][]storeRecord), down: make(map[string]bool)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// setDown makes the partition of a topic answer 503, or ends that.
func (s *store) setDown(topic string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[topic] = down
	s.changed.Broadcast()
}

// put appends a record as the operator does.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key: key, value: data})
	s.changed.Broadcast()
}

// value returns the newest value of a key, nil if there is none.
func (s *store) value(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range slices.Backward(s.topics[topic]) {
		if rec.key == key {
			return rec.value
		}
	}
	return nil
}

func (s *store) isDownLocked(topic string) bool {
	return s.down[topic] || s.down["*"]
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDownLocked(topic) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r, topic, body)
	case "GET /log-read":
		s.read(w, r, topic)
	case "GET /log-newest":
		s.newest(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic string, body []byte) {
	records := s.topics[topic]
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end": len(records)})
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first := len(records)
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+size]
		n := int(record[0])
		records = append(records, storeRecord{key: string(record[1 : 1+n]), value: slices.Clone(record[1+n:])})
		body = body[4+size:]
	}
	s.topics[topic] = records
	s.changed.Broadcast()
	writeJSON(w, map[string]any{"offset": first, "end": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until), s.wake)
	defer wake.Stop()
	for len(s.topics[topic]) <= from && time.Now().Before(until) && !s.isDownLocked(topic) && r.Context().Err() == nil {
		s.changed.Wait()
	}
	if s.isDownLocked(topic) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	records := s.topics[topic]
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := make(map[string]item)
	records := s.topics[topic]
	for i, rec := range records {
		if len(rec.value) == 0 {
			delete(byKey, rec.key)
			continue
		}
		byKey[rec.key] = item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i}
	}
	items := make([]item, 0, len(byKey))
	for _, it := range byKey {
		if it.Key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
