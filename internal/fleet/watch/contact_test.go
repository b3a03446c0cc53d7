package watch_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/watch"
)

// Guards against a fleet that reads the store too late after all watchers fell silent, and
// against daemons that read it although a watcher sends notices.
func TestReadsWithoutNotices(t *testing.T) {
	const daemons, step, silentAt, duration = 60, 200 * clock.Millisecond, 10 * clock.Second, 20 * clock.Second
	for seed := range uint64(20) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		contacts := make([]watch.Contact, daemons)
		lastNotice := clock.Milli(0)
		firstRead := clock.Milli(0)
		reads := 0
		for now := clock.Milli(0); now < duration; now += step {
			if now < silentAt && now-lastNotice >= watch.NoticeInterval {
				lastNotice = now
				for i := range contacts {
					contacts[i].Hear(now)
				}
			}
			for i := range contacts {
				if !contacts[i].ReadDue(now, random.Float64()) {
					continue
				}
				g.Expect(now).To(BeNumerically(">=", silentAt))
				if firstRead == 0 {
					firstRead = now
				}
				reads++
				// The reader's notice reaches the others.
				for j := range contacts {
					contacts[j].Hear(now)
				}
			}
		}
		g.Expect(firstRead-silentAt).To(BeNumerically("<=", 1500*clock.Millisecond), "seed %d", seed)
		g.Expect(reads).To(BeNumerically("<=", 2*int((duration-silentAt)/watch.SilentAfter)), "seed %d", seed)
	}
}
