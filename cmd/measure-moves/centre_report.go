package main

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
)

func measureCentreMoves(g *goals, seed uint64, runs int) {
	results := runSeeds(seed, runs, simulateCentreMove)
	lastNewWork := make([]seedValue, 0, len(results))
	doneAfter := make([]seedValue, 0, len(results))
	refused := make([]seedValue, 0, len(results))
	shareSteps := make([]seedValue, 0, len(results))
	cut, done, returned, shed := 0, 0, 0, 0
	worstLastNewWork := 0.0
	for _, r := range results {
		worstLastNewWork = max(worstLastNewWork, float64(r.lastNewCallAt/clock.Second))
		lastNewWork = append(lastNewWork, seedValue{r.seed, float64(r.lastNewCallAt / clock.Second)})
		doneAfter = append(doneAfter, seedValue{r.seed, float64(r.doneAt / clock.Second)})
		refused = append(refused, seedValue{r.seed, float64(r.callsRefused)})
		shareSteps = append(shareSteps, seedValue{r.seed, r.maxShareStep})
		cut += r.callsCut
		done += boolToInt(r.doneAt > 0)
		returned += boolToInt(r.returned)
		shed += boolToInt(r.shedAsNeeded)
	}
	g.checkMax("centre_last_new_work_s", worstLastNewWork, float64(centre.MaxOutDelay/clock.Second))
	g.checkEqual("centre_calls_cut", cut, 0)
	g.checkEqual("centre_done", done, len(results))
	g.checkEqual("centre_returned", returned, len(results))
	g.checkEqual("centre_shed_as_needed", shed, len(results))
	printSpread("centre_last_new_work_s", lastNewWork)
	printSpread("centre_done_after_s", doneAfter)
	printSpread("centre_refused_by_guards", refused)
	printSpread("centre_return_largest_step", shareSteps)
}

// measureReturn records the largest increase of the share of data centre c0 in
// the calls from one period of 5 s to the next after its return.
func (c *centreRun) measureReturn() {
	const periodSeconds = 5
	lastShare := 0.0
	for s := int(c.returnAt / clock.Second); c.returnAt > 0 && s+periodSeconds < len(c.served); s += periodSeconds {
		inCentre, all := 0, 0
		for i := s; i < s+periodSeconds; i++ {
			inCentre += c.served[i][0]
			all += c.served[i][1]
		}
		share := float64(inCentre) / float64(max(all, 1))
		c.outcome.maxShareStep = max(c.outcome.maxShareStep, share-lastShare)
		lastShare = share
	}
}
