// Command measure-moves simulates moves of data centres and versions in virtual
// time, prints the results and exits with status 1 if a goal is missed.
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
	kind := flag.String("kind", "", "run only this kind of version")
	flag.Parse()

	g := &goals{}
	measureVersionMoves(g, *seed, *runs, *kind)
	if *kind == "" {
		measureCentreMoves(g, *seed, *runs)
	}
	if !g.report() {
		os.Exit(1)
	}
}

// pool holds the results of runs that several goroutines execute.
type pool[T any] struct {
	mu      sync.Mutex
	results []T
	next    int
}

// runSeeds runs consecutive seeds on half of the CPUs and returns the results in
// the order of the seeds.
func runSeeds[T any](first uint64, runs int, runSeed func(seed uint64) T) []T {
	p := &pool[T]{results: make([]T, runs)}
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) / 2 {
		wg.Go(func() { p.runWorker(first, runSeed) })
	}
	wg.Wait()
	return p.results
}

func (p *pool[T]) runWorker(first uint64, runSeed func(uint64) T) {
	for {
		p.mu.Lock()
		index := p.next
		p.next++
		p.mu.Unlock()
		if index >= len(p.results) {
			return
		}
		r := runSeed(first + uint64(index))
		p.mu.Lock()
		p.results[index] = r
		p.mu.Unlock()
	}
}

// goals prints measured values with their goals and collects the keys of those
// that missed theirs.
type goals struct {
	missed []string
}

func (g *goals) check(key string, value, goal float64, ok bool) {
	result := "pass"
	if !ok {
		result = "fail"
		g.missed = append(g.missed, key)
	}
	fmt.Printf("%s=%.6g goal=%.6g result=%s\n", key, value, goal, result)
}

func (g *goals) checkMax(key string, value, goal float64) { g.check(key, value, goal, value <= goal) }

func (g *goals) checkEqual(key string, value, goal int) {
	g.check(key, float64(value), float64(goal), value == goal)
}

// report prints the number of missed goals and returns whether all were met.
func (g *goals) report() bool {
	fmt.Printf("goals_missed=%d\n", len(g.missed))
	return len(g.missed) == 0
}
