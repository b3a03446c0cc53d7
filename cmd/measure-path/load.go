package main

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// load sends calls in an open loop: each is sent when it is due, whether or
// not earlier ones have ended.
type load struct {
	client *http.Client
	url    string
	host   string
	rate   float64
	span   time.Duration

	mu      sync.Mutex
	ms      []float64
	failed  int
	started int
}

// run returns the sorted latencies in ms, from the time a call was due.
func (l *load) run() []float64 {
	var wg sync.WaitGroup
	gap := time.Duration(float64(time.Second) / l.rate)
	began := time.Now()
	for l.started = 0; ; l.started++ {
		due := began.Add(time.Duration(l.started) * gap)
		if due.Sub(began) > l.span {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() { l.call(due) })
	}
	wg.Wait()
	slices.Sort(l.ms)
	return l.ms
}

func (l *load) call(due time.Time) {
	ok := l.send()
	d := float64(time.Since(due)) / float64(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
		return
	}
	l.ms = append(l.ms, d)
}

func (l *load) send() bool {
	r, err := http.NewRequest(http.MethodGet, l.url, nil)
	if err != nil {
		return false
	}
	r.Host = l.host
	resp, err := l.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
