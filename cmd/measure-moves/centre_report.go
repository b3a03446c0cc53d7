package main

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
)

func measureCentres(g *goals, seed uint64, runs int) {
	results := overSeeds(seed, runs, runCentre)
	last := make([]seeded, 0, len(results))
	drained := make([]seeded, 0, len(results))
	refused := make([]seeded, 0, len(results))
	jump := make([]seeded, 0, len(results))
	cut, done, returned, shed := 0, 0, 0, 0
	worst := 0.0
	for _, r := range results {
		worst = max(worst, float64(r.lastNew/clock.Second))
		last = append(last, seeded{r.seed, float64(r.lastNew / clock.Second)})
		drained = append(drained, seeded{r.seed, float64(r.doneAt / clock.Second)})
		refused = append(refused, seeded{r.seed, float64(r.refused)})
		jump = append(jump, seeded{r.seed, r.jump})
		cut += r.cut
		done += count(r.doneAt > 0)
		returned += count(r.returned)
		shed += count(r.shedOK)
	}
	g.atMost("centre_last_new_work_s", worst, float64(centre.MaxOutDelay/clock.Second))
	g.equal("centre_calls_cut", cut, 0)
	g.equal("centre_done", done, len(results))
	g.equal("centre_returned", returned, len(results))
	g.equal("centre_shed_as_needed", shed, len(results))
	spread("centre_last_new_work_s", last)
	spread("centre_done_after_s", drained)
	spread("centre_refused_by_guards", refused)
	spread("centre_return_largest_step", jump)
}

// judgeReturn finds the largest step of the share between two periods of 5 s.
func (c *centreRun) judgeReturn() {
	const period = 5
	last := 0.0
	for s := int(c.backAt / clock.Second); c.backAt > 0 && s+period < len(c.served); s += period {
		part, all := 0, 0
		for i := s; i < s+period; i++ {
			part += c.served[i][0]
			all += c.served[i][1]
		}
		now := float64(part) / float64(max(all, 1))
		c.res.jump = max(c.res.jump, now-last)
		last = now
	}
}
