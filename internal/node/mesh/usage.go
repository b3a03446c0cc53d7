package mesh

import (
	"slices"
	"strconv"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/lease"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/rank"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/duty"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
)

const (
	// usageDutyName identifies the duty in log lines and in the choice of candidates.
	usageDutyName = "usage"
	// dutyCandidates is the number of daemons that watch the holder of a duty.
	dutyCandidates = 2
	// processSeparator separates the id and the incarnation of a process in a lease record.
	processSeparator = "#"
)

// usageHooks creates the counter of usage and returns the guard's options for it, none if the
// deployment has no reports of usage.
func (n *Node) usageHooks(previous peers.Record) []guard.Option {
	if n.settings.Usage == nil {
		return nil
	}
	n.usage = newUsageCounter(n, previous.Incarnation > 0)
	return []guard.Option{guard.WithDispatchHook(n.usage.recordDispatch), guard.WithNotRunHook(n.usage.recordNotRun)}
}

// addUsageDuty creates the duty to report usage.
func (n *Node) addUsageDuty() {
	puller := &usagePuller{
		settings: n.settings.Usage, pool: n.pool, counter: n.usage, linkedIDs: n.runningIDs,
		collector: usage.NewCollector(n.settings.Usage.Timing.Length),
		inFlight:  make(map[string]bool), clocks: make(map[string]clock.Milli),
	}
	n.usage.collect = puller.collect
	startAt := n.watch.startAt
	earliest := int64(0)
	if n.settings.FirstStart {
		earliest = int64(n.usage.since / n.settings.Usage.Timing.Length)
	}
	reporter := &usageReporter{
		name: n.settings.Name, settings: n.settings.Usage, log: n.log, meter: n.meter, platform: n.platform,
		counter: n.usage, puller: puller, earliest: earliest,
	}
	n.usageDuty = &duty.Runner{
		Name: usageDutyName, Topic: n.platform.Topics().Usage, Store: n.store, Log: n.log, Enabled: n.hasWorkspaces,
		Work: reporter,
		Situation: func(holder string) lease.Situation {
			s := lease.Situation{Rank: -1, Stopping: n.lifecycle.stopping.Load(), TrueTime: n.usage.trueTime()}
			if n.clock.Now() >= startAt {
				s.Rank = n.dutyRank(holder)
			}
			return s
		},
	}
	n.usageDuty.Init(n.self.ID+processSeparator+strconv.FormatUint(n.self.Incarnation, 10), n.settings.Usage.leaseTiming())
	reporter.runner = n.usageDuty
	n.usage.noteToken, n.usage.highestToken = n.usageDuty.NoteToken, n.usageDuty.HighestToken
	n.meter.AddGauge("usage_duty_held", func() float64 { return gaugeValue(n.usageDuty.Token() > 0) })
	n.meter.AddGauge("usage_duty_token", func() float64 { return float64(n.usageDuty.HighestToken()) })
}

// leaseTiming returns the times of the lease. Each window brings an append, which renews it.
func (u *UsageSettings) leaseTiming() lease.Timing {
	renew := max(u.Lease/2, u.Timing.Length)
	return lease.Timing{Lease: u.Lease, Renew: renew, Takeover: renew + u.Lease/2}
}

// dutyRank returns the position of this daemon among the candidates for a duty, negative if
// it is none. The holder is not among them.
func (n *Node) dutyRank(holder string) int {
	member, _, _ := strings.Cut(holder, processSeparator)
	ids := slices.DeleteFunc(n.runningIDs(), func(id string) bool { return id == member && id != n.self.ID })
	return slices.Index(rank.Top(usageDutyName, ids, dutyCandidates), n.self.ID)
}

// runningIDs returns this daemon and the linked ones that have not stopped.
func (n *Node) runningIDs() []string {
	linked := n.table.Linked()
	ids := make([]string, 0, len(linked))
	for i := range linked {
		ids = append(ids, linked[i].ID)
	}
	return ids
}

// hasWorkspaces reports whether callers belong to workspaces.
func (n *Node) hasWorkspaces() bool {
	t := n.routes()
	return t != nil && t.Keys != nil
}
