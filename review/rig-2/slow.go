//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of an upload, uploadTime how long the client takes to send it,
	// in uploadPieces pieces.
	uploadBytes  = 60000
	uploadTime   = 1800 * time.Millisecond
	uploadPieces = 20
	// longTimeout and shortTimeout are the timeout_ms of the route before and after the change
	// of the configuration.
	longTimeout  = 2000
	shortTimeout = 500
	// inForce is the time after which a configuration is in force: config_apply_ms, and
	// stable_window_ms for the machines to be in touch.
	inForce = 5 * time.Second
	// slowClients is the number of uploads from each machine.
	slowClients = 4
)

// playSlowUpload sends uploads over slow links after the timeout of their route was changed.
func playSlowUpload(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	upload := call{method: http.MethodPost, path: "/scan/17", body: strings.Repeat("scan", uploadBytes/4)}
	scans := route{name: "r-scan", kind: "upload", prefix: "/scan/", timeoutMs: longTimeout}
	d.putConfig(7, scans)
	if err := startFleet(ctx, d, fleetSize, upload); err != nil {
		return nil, err
	}
	if trouble {
		scans.timeoutMs = shortTimeout
		d.putConfig(9, scans)
	}
	time.Sleep(inForce)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var denied []string
	for _, m := range d.machines {
		for range slowClients {
			wg.Go(func() {
				id, status := m.sendSlowly(upload)
				mu.Lock()
				defer mu.Unlock()
				if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
					denied = append(denied, fmt.Sprintf("%s %d", id, status))
				}
			})
		}
	}
	wg.Wait()
	allowed := 5 + d.record.sentRequests()/500
	d.record.printf("%d proper requests were denied, allowed are %d", len(denied), allowed)
	if len(denied) <= allowed {
		return nil, nil
	}
	return []string{fmt.Sprintf("DENIED: %d proper requests ended with a 4xx of the daemons, allowed are %d: %s", len(denied), allowed, strings.Join(denied, ", "))}, nil
}

// sendSlowly sends an upload in pieces on a connection of its own. It returns the id and the
// status of the answer, zero if there was none before the deadline.
func (m *machine) sendSlowly(q call) (id string, status int) {
	rec := m.deployment.record
	id = newRequestID()
	conn, err := net.DialTimeout("tcp", m.addr(portOutbound), time.Second)
	if err != nil {
		return id, 0
	}
	defer func() { _ = conn.Close() }()
	rec.sent(id, q, m)
	start := time.Now()
	_ = conn.SetDeadline(start.Add(clientDeadline))
	go sendPieces(conn, requestText(id, q))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.printf("answered %s nothing after %d ms: %v", id, time.Since(start).Milliseconds(), err)
		return id, 0
	}
	_ = resp.Body.Close()
	rec.printf("answered %s %d after %d ms", id, resp.StatusCode, time.Since(start).Milliseconds())
	return id, resp.StatusCode
}

// sendPieces writes a text within uploadTime.
func sendPieces(conn net.Conn, text string) {
	size := len(text)/uploadPieces + 1
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(uploadTime / uploadPieces)
	}
}
