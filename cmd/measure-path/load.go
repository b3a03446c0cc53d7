package main

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// loadGenerator sends calls in an open loop: each call is sent when it is due,
// whether or not earlier calls have ended.
type loadGenerator struct {
	client   *http.Client
	url      string
	host     string
	rate     float64
	duration time.Duration

	mu          sync.Mutex
	latenciesMs []float64
	failed      int
	started     int
}

// run sends calls for the configured duration and returns the sorted latencies
// of the successful ones in ms, counted from the time each call was due.
func (l *loadGenerator) run() []float64 {
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / l.rate)
	startedAt := time.Now()
	for l.started = 0; ; l.started++ {
		due := startedAt.Add(time.Duration(l.started) * interval)
		if due.Sub(startedAt) > l.duration {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() { l.measureCall(due) })
	}
	wg.Wait()
	slices.Sort(l.latenciesMs)
	return l.latenciesMs
}

func (l *loadGenerator) measureCall(due time.Time) {
	ok := l.send()
	latencyMs := float64(time.Since(due)) / float64(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
		return
	}
	l.latenciesMs = append(l.latenciesMs, latencyMs)
}

func (l *loadGenerator) send() bool {
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

// quantile returns the q-quantile of sorted, or 0 if it is empty.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
