//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	// requests counts the requests that clients sent.
	requests int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sent records a request of a client.
func (r *record) sent(id string, q call, m *machine) {
	r.printf("sent     %s %s %s to %s", id, q.method, q.path, m.name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
}

func (r *record) sentRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
