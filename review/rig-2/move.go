//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// moveSize is the number of targets of each version.
	moveSize = 6
	// moveTime is duration_s of a version move.
	moveTime = 14 * time.Second
	// failShare is the share of the bookings that fail at the bad version. Lookups do not.
	failShare = 0.5
	// moveClients is the number of clients on each machine.
	moveClients = 12
	// drainDelay is the time from the status rolled_back to the draining of the new targets,
	// drainTime the time for which they serve then.
	drainDelay = 4 * time.Second
	drainTime  = 2500 * time.Millisecond
	// nextMoveDelay is the time from the status to the next order.
	nextMoveDelay = 500 * time.Millisecond
	// exposureShare and exposureSlack are the bounds of the same names.
	exposureShare = 0.1
	exposureSlack = 50

	bookPrefix = "/book/"
	rolloutKey = "rollout/" + service
)

// playSecondMove moves the service to a bad version. When that is rolled back, the operator
// orders a move to the next version.
func playSecondMove(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	booking := call{method: http.MethodPost, path: bookPrefix + "17", body: "confirm"}
	lookup := call{method: http.MethodGet, path: "/look/17"}
	kinds := []call{booking, lookup, lookup, lookup, lookup, lookup}
	d.putConfig(7, route{name: "r-book", kind: "non_idempotent", prefix: bookPrefix}, route{name: "r-look", kind: "idempotent", prefix: "/look/"})
	if err := startFleet(ctx, d, moveSize, booking); err != nil {
		return nil, err
	}
	clients := d.machines[:moveSize]
	sendFor(clients, moveClients, 4*time.Second, kinds...)
	ordered := time.Now()
	d.orderMove("v2")
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sendFor(clients, moveClients, moveTime, kinds...)
	}()
	bad, err := d.add(moveSize, "v2", false)
	if err != nil {
		return nil, err
	}
	for _, m := range bad {
		m.target.setFails(func(r *http.Request) bool {
			return strings.HasPrefix(r.URL.Path, bookPrefix) && rand.Float64() < failShare
		})
	}
	if err := poll(ctx, moveTime, "the move is rolled back", func() bool { return d.statusOf("v2") == "rolled_back" }); err != nil {
		return nil, err
	}
	d.record.printf("status   v2 is rolled back")
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.remove(bad)
	}()
	time.Sleep(nextMoveDelay)
	if trouble {
		d.orderMove("v3")
		if _, err := d.add(moveSize, "v3", false); err != nil {
			return nil, err
		}
	}
	<-sent
	<-drained
	return d.checkExposure("v2", ordered, ordered.Add(moveTime)), nil
}

// orderMove orders a move to a version.
func (d *deployment) orderMove(version string) {
	value, err := json.Marshal(map[string]any{"backend": service, "to_version": version, "duration_s": moveTime.Seconds()})
	if err != nil {
		panic(err)
	}
	d.putDirective(rolloutKey, value)
}

// statusOf returns the phase that the system wrote for the move to a version.
func (d *deployment) statusOf(version string) string {
	var status struct {
		Phase     string `json:"phase"`
		ToVersion string `json:"to_version"`
	}
	if err := json.Unmarshal(d.store.newestValue("keyed.status", rolloutKey), &status); err != nil || status.ToVersion != version {
		return ""
	}
	return status.Phase
}

// remove drains targets and ends their machines, as the platform does after a rollback.
func (d *deployment) remove(machines []*machine) {
	time.Sleep(drainDelay)
	for _, m := range machines {
		m.target.drain()
	}
	time.Sleep(drainTime)
	for _, m := range machines {
		m.target.deregister()
		m.target.close()
		m.signal(syscall.SIGTERM)
	}
}

// checkExposure compares the requests that a bad version got with all that reached the service.
func (d *deployment) checkExposure(version string, from, to time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all, exposed := 0, 0
	for _, r := range d.runs {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		all++
		if r.version == version {
			exposed++
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	d.record.printf("%s got %d requests of %d, allowed are %.0f", version, exposed, all, allowed)
	if float64(exposed) <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("EXPOSURE: the bad version %s got %d requests of %d between its order and its deadline, allowed are %.0f", version, exposed, all, allowed)}
}
