// Command measure-moves measures moves of data centres and versions in virtual
// time and compares the figures with their goals.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
)

func main() {
	runs := flag.Int("runs", 200, "seeded runs of each kind")
	seed := flag.Uint64("seed", 1, "first seed")
	only := flag.String("kind", "", "run only this kind of version")
	flag.Parse()

	g := &goals{}
	measureVersions(g, *seed, *runs, *only)
	if *only == "" {
		measureCentres(g, *seed, *runs)
	}
	if !g.report() {
		os.Exit(1)
	}
}

// pool runs seeds on all cores.
type pool[T any] struct {
	mu      sync.Mutex
	results []T
	next    int
}

func overSeeds[T any](first uint64, runs int, one func(seed uint64) T) []T {
	p := &pool[T]{results: make([]T, runs)}
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) / 2 {
		wg.Go(func() { p.loop(first, one) })
	}
	wg.Wait()
	return p.results
}

func (p *pool[T]) loop(first uint64, one func(uint64) T) {
	for {
		p.mu.Lock()
		i := p.next
		p.next++
		p.mu.Unlock()
		if i >= len(p.results) {
			return
		}
		r := one(first + uint64(i))
		p.mu.Lock()
		p.results[i] = r
		p.mu.Unlock()
	}
}

// goals collects figures that have a goal.
type goals struct {
	missed []string
}

func (g *goals) check(key string, value, goal float64, ok bool) {
	word := "pass"
	if !ok {
		word = "fail"
		g.missed = append(g.missed, key)
	}
	fmt.Printf("%s=%.6g goal=%.6g result=%s\n", key, value, goal, word)
}

func (g *goals) atMost(key string, value, goal float64) { g.check(key, value, goal, value <= goal) }

func (g *goals) equal(key string, value, goal int) {
	g.check(key, float64(value), float64(goal), value == goal)
}

func (g *goals) report() bool {
	fmt.Printf("goals_missed=%d\n", len(g.missed))
	return len(g.missed) == 0
}
