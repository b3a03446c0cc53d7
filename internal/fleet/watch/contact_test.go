package watch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/watch"
)

const (
	// knownAfter is the time after the last answer of the store until a daemon must know its
	// state again: a directive is in force 2 s after its acknowledgement.
	knownAfter = 1800 * clock.Millisecond
	// spreadTime is the time until all daemons know of an answer.
	spreadTime = 50 * clock.Millisecond
	readTime   = 20 * clock.Millisecond
)

// storeReads plays a fleet whose store answers only some daemons after the last answer at
// zero. It returns when a daemon is answered, zero if none is, and the number of reads.
func storeReads(duties *watch.Duties, ids []string, answered func(id string) bool, duration clock.Milli) (answeredAt clock.Milli, reads int) {
	contacts := make([]watch.Contact, len(ids))
	for now := clock.Milli(0); now < duration; now += 5 * clock.Millisecond {
		if answeredAt > 0 && now >= answeredAt+spreadTime {
			return answeredAt, reads
		}
		for i, id := range ids {
			if now < contacts[i].NextRead(0, duties.Turn(id, len(ids)), len(ids)) {
				continue
			}
			contacts[i].RecordRead(now)
			reads++
			if answered(id) && answeredAt == 0 {
				answeredAt = now + readTime
			}
		}
	}
	return answeredAt, reads
}

// Guards against a fleet that reads the store too late after the watchers' reads are left
// without an answer, whichever daemons the store still answers, and against daemons that all
// read it although one of them is answered.
func TestStoreIsReadWhicheverDaemonsItAnswers(t *testing.T) {
	tests := map[string]struct {
		daemons int
		// share of the daemons get no answer, the watchers among them.
		share float64
		// maxReads limits the mean number of reads.
		maxReads float64
	}{
		"11, watchers only":  {11, 0, 11},
		"11, most":           {11, 0.7, 11},
		"195, watchers only": {195, 0, 40},
		"195, a third":       {195, 0.35, 60},
		"195, most":          {195, 0.9, 150},
		"3200, most":         {3200, 0.9, 1500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const seeds = 20
			total := 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				var daemons []watch.Daemon
				for i := range tt.daemons {
					daemons = append(daemons, watch.Daemon{ID: fmt.Sprintf("10.%d.%d.1:%d", i%3, i, 7000+seed), Centre: fmt.Sprint(i % 3)})
				}
				duties := watch.Select(daemons, 0)
				silent := map[string]bool{}
				for _, id := range ids(daemons) {
					silent[id] = slices.Contains(duties.Watchers, id) || random.Float64() < tt.share
				}
				// At least one daemon is answered.
				silent[without(daemons, duties.Watchers[0])[random.IntN(tt.daemons-1)].ID] = false
				at, reads := storeReads(&duties, ids(daemons), func(id string) bool { return !silent[id] }, 3*clock.Second)
				g.Expect(at).To(And(BeNumerically(">=", watch.SilentAfter), BeNumerically("<=", knownAfter)), "seed %d", seed)
				total += reads
			}
			g.Expect(float64(total) / seeds).To(BeNumerically("<=", tt.maxReads))
		})
	}
}

// Guards against daemons that flood a store that is down for all.
func TestReadsOfStoreThatIsDown(t *testing.T) {
	tests := map[string]struct {
		daemons, maxReads int
	}{"11": {11, 33}, "195": {195, 390}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			daemons := fleet(1, tt.daemons)
			duties := watch.Select(daemons, 0)
			at, reads := storeReads(&duties, ids(daemons), func(string) bool { return false }, watch.StaleAfter)
			g.Expect(at).To(BeZero())
			g.Expect(reads).To(BeNumerically("<=", tt.maxReads))
		})
	}
}

// Guards against watchers that are answered at the same time, so that no answer comes for
// longer than SilentAfter, and against more reads than one each ReadInterval.
func TestAnswersOfWatchersAreSpread(t *testing.T) {
	const notice, duration = 30 * clock.Millisecond, 60 * clock.Second
	for _, centres := range []int{1, 3, 5, 18} {
		t.Run(fmt.Sprint(centres), func(t *testing.T) {
			g := NewWithT(t)
			duties := watch.Select(fleet(centres, 10), 0)
			known := map[string]watch.Answers{}
			ends := map[string]clock.Milli{}
			type announcement struct {
				id           string
				at, answerAt clock.Milli
			}
			var announcements []announcement
			for _, id := range duties.Watchers {
				known[id] = watch.Answers{}
			}
			last, longest, reads := clock.Milli(0), clock.Milli(0), 0
			for now := clock.Milli(0); now < duration; now += 5 * clock.Millisecond {
				for len(announcements) > 0 && now >= announcements[0].at {
					for _, other := range duties.Watchers {
						known[other][announcements[0].id] = announcements[0].answerAt
					}
					announcements = announcements[1:]
				}
				for _, id := range duties.Watchers {
					if now < ends[id] {
						continue
					}
					if now > 0 {
						longest, last = max(longest, now-last), now
						reads++
					}
					ends[id] = now + known[id].ReadWait(now, &duties, id)
					announcements = append(announcements, announcement{id, now + notice, ends[id]})
				}
			}
			g.Expect(longest).To(BeNumerically("<=", watch.ReadInterval+100*clock.Millisecond))
			g.Expect(float64(reads)).To(BeNumerically("<=", 1.05*float64(duration/watch.ReadInterval)+1))
		})
	}
}
