//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// topicDirectives is the topic that only the operator writes.
const topicDirectives = "keyed.op"

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	key   string
	value []byte
}

// Store is a stand-in of the platform's metadata store: keyed topics with one partition.
type Store struct {
	rec *Recorder

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// silent makes the store accept calls and answer none of them.
	silent  bool
	server  *http.Server
	release chan struct{}
}

// NewStore starts a store at addr.
func NewStore(addr string, rec *Recorder) (*Store, error) {
	s := &Store{rec: rec, topics: make(map[string][]storeRecord), changed: make(chan struct{}), release: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.server = &http.Server{Handler: s.gate(mux)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// gate holds all calls while the store is silent.
func (s *Store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			select {
			case <-r.Context().Done():
			case <-s.release:
			}
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// SetSilent makes the store answer nothing, or ends that.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	s.silent = silent
	s.mu.Unlock()
	s.rec.Logf("store silent=%v", silent)
}

// Close stops the store.
func (s *Store) Close() {
	close(s.release)
	_ = s.server.Close()
}

// Put is a write of the operator.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.append(topicDirectives, []storeRecord{{key: key, value: b}})
	s.rec.Logf("operator writes op/%s, acknowledged", key)
}

// Status returns the newest value of a key of the status topic, nil if there is none.
func (s *Store) Status(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics["keyed.status"]
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			return records[i].value
		}
	}
	return nil
}

// Remove removes a key of the operator.
func (s *Store) Remove(key string) {
	s.append(topicDirectives, []storeRecord{{key: key}})
	s.rec.Logf("operator removes op/%s, acknowledged", key)
}

func (s *Store) append(topic string, records []storeRecord) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == topicDirectives {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(data) >= 5 {
		size := int(binary.BigEndian.Uint32(data))
		body := data[4 : 4+size]
		n := int(body[0])
		records = append(records, storeRecord{key: string(body[1 : 1+n]), value: body[1+n:]})
		data = data[4+size:]
	}
	if at := r.URL.Query().Get("at"); at != "" {
		s.mu.Lock()
		end := len(s.topics[topic])
		s.mu.Unlock()
		if at != strconv.Itoa(end) {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
			return
		}
	}
	offset, end := s.append(topic, records)
	for _, rc := range records {
		if strings.HasPrefix(topic, "keyed.status") {
			s.rec.Logf("store status/%s = %s", rc.key, rc.value)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRecords(w, records, from)
			return
		case <-r.Context().Done():
			return
		case <-s.release:
			panic(http.ErrAbortHandler)
		}
	}
}

func writeRecords(w http.ResponseWriter, records []storeRecord, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rc := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rc.key)+len(rc.value)))
		out = append(out, byte(len(rc.key)))
		out = append(out, rc.key...)
		out = append(out, rc.value...)
	}
	_, _ = w.Write(out)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	newest := make(map[string]item)
	for i, rc := range s.topics[topic] {
		if len(rc.value) == 0 {
			delete(newest, rc.key)
			continue
		}
		newest[rc.key] = item{Key: rc.key, Value: rc.value, Offset: i}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
