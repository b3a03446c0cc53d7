//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes the record of a run, one line an event, with seconds since its start.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecorder creates the record at path.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Now returns the time since the start of the record.
func (r *Recorder) Now() time.Duration {
	return time.Since(r.start)
}

// Logf writes one line.
func (r *Recorder) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
