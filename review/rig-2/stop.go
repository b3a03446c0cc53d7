//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lossSlack is the bound loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	// bookingWork is how long a target works on a request, as in the site file.
	bookingWork = 290 * time.Millisecond
	// pairs is the number of kept connections on which two requests are sent at once, pairGap
	// the time between two of them. All are sent within the first 1.5 s of the planned stop.
	pairs   = 10
	pairGap = 150 * time.Millisecond
)

// playPipelinedStop sends a lookup and a booking at once on each of some kept connections,
// after the daemon got SIGTERM.
func playPipelinedStop(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	d.work = bookingWork
	d.putConfig(7, route{name: "r-look", kind: "idempotent", prefix: "/look/"}, route{name: "r-book", kind: "non_idempotent", prefix: bookPrefix})
	lookup := call{method: http.MethodGet, path: "/look/17"}
	if err := startFleet(ctx, d, fleetSize, lookup); err != nil {
		return nil, err
	}
	m := d.machines[0]
	clients, err := connect(m, pairs, lookup)
	if err != nil {
		return nil, err
	}
	if trouble {
		d.record.printf("signal   SIGTERM to the daemon of %s", m.name)
		m.signal(syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for i, c := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i+1) * pairGap)
			lost := c.sendPair(lookup, call{method: http.MethodPost, path: bookPrefix + "17", body: "confirm"})
			c.close()
			if lost != "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, lost)
			}
		})
	}
	wg.Wait()
	return broken, nil
}

// connect returns clients with a kept connection each, which has served a request.
func connect(m *machine, count int, q call) ([]*client, error) {
	clients := make([]*client, 0, count)
	for range count {
		c := &client{machine: m}
		if c.send(q) != http.StatusOK || c.conn == nil {
			return nil, errors.New("no kept connection")
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// sendPair sends two requests with one write. It says if the second one got no answer although
// its connection ended later than lossSlack after it was sent.
func (c *client) sendPair(first, second call) string {
	rec := c.machine.deployment.record
	ids := []string{newRequestID(), newRequestID()}
	_ = c.conn.SetDeadline(time.Now().Add(2 * clientDeadline))
	sentAt := time.Now()
	if _, err := io.WriteString(c.conn, requestText(ids[0], first)+requestText(ids[1], second)); err != nil {
		rec.printf("the connection was closed before %s and %s were sent: %v", ids[0], ids[1], err)
		return ""
	}
	rec.sent(ids[0], first, c.machine)
	rec.sent(ids[1], second, c.machine)
	for i, id := range ids {
		resp, err := http.ReadResponse(c.in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		after := time.Since(sentAt)
		if err == nil {
			rec.printf("answered %s %d, it announces the end of the connection: %t", id, resp.StatusCode, resp.Close)
			continue
		}
		rec.printf("answered %s nothing, the connection ended %d ms after it was sent: %v", id, after.Milliseconds(), err)
		if i == 1 && after > lossSlack {
			return fmt.Sprintf("LOST: booking %s was never answered, its connection ended %d ms after it was sent", id, after.Milliseconds())
		}
		break
	}
	return ""
}
