//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lossShare is the share of the answers that a target loses, lossTime for how long and
	// losingTargets the number of targets that do, of fleetSize: an entry of the site file.
	lossShare         = 0.4
	lossTime          = 4 * time.Second
	losingTargets     = 3
	fleetSize         = 5
	clientsPerMachine = 4
	// clientPause is the time between two requests of a client.
	clientPause = 40 * time.Millisecond
)

// playEmptyKey sends bookings without a body whose Idempotency-Key header is empty, while
// targets lose answers.
func playEmptyKey(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	return playLostAnswers(ctx, d, trouble, call{method: http.MethodPost, path: bookPrefix + "17/confirm", headers: []string{"Idempotency-Key:"}},
		route{name: "r-book", kind: "non_idempotent", prefix: bookPrefix})
}

// playEscapedSlash sends uploads whose path has an escaped slash, while targets lose answers.
func playEscapedSlash(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	return playLostAnswers(ctx, d, trouble, call{method: http.MethodPost, path: "/scan/list%2F17", body: strings.Repeat("scan", uploadBytes/4)},
		route{name: "r-scan", kind: "upload", prefix: "/scan/"},
		route{name: "r-list", kind: "idempotent", prefix: "/scan/list/"})
}

// playLostAnswers sends one kind of request that must not run twice from all machines. Targets
// lose a part of the answers for a while.
func playLostAnswers(ctx context.Context, d *deployment, trouble bool, q call, routes ...route) ([]string, error) {
	d.putConfig(7, routes...)
	if err := startFleet(ctx, d, fleetSize, q); err != nil {
		return nil, err
	}
	if trouble {
		for _, m := range d.machines[:losingTargets] {
			m.target.setLoses(func(*http.Request) bool { return rand.Float64() < lossShare })
		}
	}
	sendFor(d.machines, clientsPerMachine, lossTime, q)
	for _, m := range d.machines {
		m.target.setLoses(never)
	}
	sendFor(d.machines, clientsPerMachine, time.Second, q)
	time.Sleep(clientDeadline)
	var broken []string
	for id, n := range d.runCounts() {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s, which is not idempotent, ran %d times", id, n))
		}
	}
	return broken, nil
}

// startFleet starts the first machines and waits until they serve requests.
func startFleet(ctx context.Context, d *deployment, size int, q call) error {
	if _, err := d.add(size, "v1", true); err != nil {
		return err
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	return awaitServed(ctx, d, q)
}

// awaitServed waits until requests from all machines are served.
func awaitServed(ctx context.Context, d *deployment, q call) error {
	for _, m := range d.machines {
		c := &client{machine: m}
		defer c.close()
		served := 0
		if err := poll(ctx, settleTimeout, "requests are served", func() bool {
			if c.send(q) == http.StatusOK {
				served++
			}
			return served >= 3
		}); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return errors.New("interrupted")
	}
	return nil
}

// sendFor sends requests from some clients on each machine, each of which takes the next kind
// in turn.
func sendFor(machines []*machine, clients int, length time.Duration, kinds ...call) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for _, m := range machines {
		for n := range clients {
			wg.Go(func() {
				c := &client{machine: m}
				defer c.close()
				for i := n; time.Now().Before(end); i++ {
					c.send(kinds[i%len(kinds)])
					time.Sleep(clientPause)
				}
			})
		}
	}
	wg.Wait()
}
