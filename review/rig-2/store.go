//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeCallTime is what the store takes for a call.
	storeCallTime = 4 * time.Millisecond
	// maxReadWait is the longest time for which a read waits for records.
	maxReadWait = 30 * time.Second
	// operatorTopic has the directives of the operator, which only the operator writes.
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
)

// item is one record of a keyed topic. An empty value removes the key.
type item struct {
	key   string
	value []byte
}

// storeStub is the platform's store: keyed topics with one partition each.
type storeStub struct {
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	topics map[string][]item
	// changed is closed and replaced with each append.
	changed chan struct{}
}

func newStore(ip string) (*storeStub, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &storeStub{listener: l, topics: make(map[string][]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeCallTime)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *storeStub) addr() string { return s.listener.Addr().String() }

func (s *storeStub) close() { _ = s.server.Close() }

// put adds a record, as the operator does.
func (s *storeStub) put(topic string, i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, i)
}

// newestValue returns the newest value of a key, nil if it has none.
func (s *storeStub) newestValue(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, it := range s.topics[topic] {
		if it.key == key {
			value = it.value
		}
	}
	return value
}

// add appends a record and wakes the reads that wait. The caller holds the lock.
func (s *storeStub) add(topic string, items ...item) {
	s.topics[topic] = append(s.topics[topic], items...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeStub) newest(w http.ResponseWriter, r *http.Request) {
	type pageItem struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	items := s.topics[r.URL.Query().Get("topic")]
	last := make(map[string]pageItem)
	for i, it := range items {
		if len(it.value) == 0 {
			delete(last, it.key)
			continue
		}
		last[it.key] = pageItem{Key: it.key, Value: it.value, Offset: i}
	}
	end := len(items)
	s.mu.Unlock()
	page := make([]pageItem, 0, len(last))
	for _, p := range last {
		page = append(page, p)
	}
	slices.SortFunc(page, func(a, b pageItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": page, "has_more": false, "end": end})
}

func (s *storeStub) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	wait := time.NewTimer(min(maxReadWait, time.Duration(waitMs)*time.Millisecond))
	defer wait.Stop()
	for {
		s.mu.Lock()
		items, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(items) {
			writeRecords(w, items[from:], len(items))
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			writeRecords(w, nil, len(items))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end of the partition, its first offset and records.
func writeRecords(w http.ResponseWriter, items []item, end int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, it := range items {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(it.key)+len(it.value)))
		out = append(out, byte(len(it.key)))
		out = append(out, it.key...)
		out = append(out, it.value...)
	}
	_, _ = w.Write(out)
}

func (s *storeStub) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == operatorTopic || topic == serversTopic {
		http.Error(w, "only the operator writes this topic", http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	items, ok := decodeItems(body)
	if !ok {
		http.Error(w, "malformed records", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if at := q.Get("at"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end": offset})
		return
	}
	s.add(topic, items...)
	writeJSON(w, map[string]any{"offset": offset, "end": len(s.topics[topic])})
}

func decodeItems(body []byte) (items []item, ok bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		keyLength := int(body[0])
		if size > len(body) || 1+keyLength > size {
			return nil, false
		}
		items = append(items, item{key: string(body[1 : 1+keyLength]), value: slices.Clone(body[1+keyLength : size])})
		body = body[size:]
	}
	return items, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
