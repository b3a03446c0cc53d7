package watch

import (
	"math/bits"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// startReadDelay leaves a daemon that started alone the time to get the directives from a
// peer over its first link.
const startReadDelay = 100 * clock.Millisecond

// StartReadDelay returns how long after its start a daemon without directives reads them from
// the store, if no peer gives them to it before. It answers the load of a fleet that starts
// again at once: the watchers among the known daemons read for all, and if they stay away,
// twice as many others follow after each turnDelay.
func (d *Duties) StartReadDelay(id string, fleet int) clock.Milli {
	turn := d.Turn(id, fleet)
	if turn < len(d.Watchers) {
		return 0
	}
	return startReadDelay + turnDelay*clock.Milli(bits.Len(uint(turn+1))-1)
}
