package queue_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/queue"
)

// kind is a kind of calls that arrive at even intervals.
type kind struct {
	priority                        int
	interval, service, soft, maxAge clock.Milli
}

// offered is a call of a load, and its outcome.
type offered struct {
	kind             string
	at, ends, soft   clock.Milli
	service          clock.Milli
	admitted, timely bool
}

// play offers calls of the kinds for a duration to a dispatcher that runs them in their
// service times. It returns the share of calls that ended within their soft deadline, by kind,
// and the mean number of calls in progress.
func play(d *queue.Dispatcher, kinds map[string]kind, duration clock.Milli) (timely map[string]float64, inProgress float64) {
	calls := map[call.ID]*offered{}
	settle := func(now clock.Milli, decisions []admit.Decision) {
		for _, decision := range decisions {
			c := calls[decision.ID]
			if c.admitted = decision.Admit; c.admitted {
				c.ends, c.timely = now+c.service, now+c.service <= c.soft
			}
		}
	}
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	n := 0
	var ids []call.ID
	for ms := clock.Milli(0); ms < duration; ms++ {
		now := start + ms
		for _, id := range ids {
			if c := calls[id]; c.admitted && c.ends == now {
				settle(now, d.Finish(now, id, admit.Result{Latency: c.service}))
			}
		}
		for i, name := range names {
			k := kinds[name]
			if int(ms)%int(k.interval) != i {
				continue
			}
			n++
			id := call.ID{byte(n), byte(n >> 8), 1}
			ids = append(ids, id)
			calls[id] = &offered{kind: name, at: now, soft: now + k.soft, service: k.service}
			settle(now, d.Offer(now, admit.Request{ID: id, Priority: k.priority, Route: name, MayQueue: true, SoftDeadline: now + k.soft, Deadline: now + k.maxAge}))
		}
		settle(now, d.Tick(now))
		inProgress += float64(d.UpstreamState(now).InProgress) / float64(duration)
	}
	total := map[string]float64{}
	timely = map[string]float64{}
	for _, c := range calls {
		total[c.kind]++
		if c.timely {
			timely[c.kind]++
		}
	}
	for name := range total {
		timely[name] /= total[name]
	}
	return timely, inProgress
}

// Guards against short calls that wait behind long ones which could wait longer, against long
// calls that lose their share to them, and against slots that stay free meanwhile.
func TestOrderUnderLoad(t *testing.T) {
	short := kind{priority: 1, interval: 20, service: 40, soft: 200, maxAge: 500}
	long := kind{priority: 1, interval: 300, service: 540, soft: 1500, maxAge: 8000}
	burst := long
	burst.interval = 185
	urgent := kind{priority: 0, interval: 30, service: 60, soft: 150, maxAge: 400}
	patient := kind{priority: 2, interval: 20, service: 60, soft: 600, maxAge: 2000}
	flood := urgent
	flood.interval = 12
	tests := map[string]struct {
		kinds map[string]kind
		want  map[string]float64
		// inProgress is the least mean number of calls in progress, of four slots.
		inProgress float64
	}{
		"short and long, nearly full":  {map[string]kind{"short": short, "long": long}, map[string]float64{"short": 0.97, "long": 0.9}, 3.5},
		"short and long, over the top": {map[string]kind{"short": short, "long": burst}, map[string]float64{"short": 0.9, "long": 0.5}, 3.7},
		"urgent and patient":           {map[string]kind{"urgent": urgent, "patient": patient}, map[string]float64{"urgent": 0.97, "patient": 0.5}, 3.7},
		// The slots suffice for half of the calls. The patient route keeps a quarter of its half.
		"urgent flood": {map[string]kind{"flood": flood, "patient": patient}, map[string]float64{"flood": 0.5, "patient": 0.125}, 3.7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, inProgress := play(queue.New(6), tt.kinds, 20*clock.Second)
			g.Expect(inProgress).To(BeNumerically(">=", tt.inProgress))
			for kind, least := range tt.want {
				g.Expect(got[kind]).To(BeNumerically(">=", least), "share of %s in time; all: %v", kind, got)
			}
		})
	}
}

// Guards against a guard that starts in the middle of a shortage, without measured service
// times, and serves by arrival until it has them.
func TestOrderAfterRestart(t *testing.T) {
	g := NewWithT(t)
	got, _ := play(queue.New(6), map[string]kind{
		"urgent":  {priority: 0, interval: 30, service: 60, soft: 150, maxAge: 400},
		"patient": {priority: 2, interval: 10, service: 60, soft: 600, maxAge: 2000},
	}, clock.Second)
	g.Expect(got["urgent"]).To(BeNumerically(">=", 0.9), "%v", got)
}

// Guards against slots that are kept for a burst after it has ended.
func TestReleaseAfterBurst(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	play(d, map[string]kind{
		"burst": {priority: 0, interval: 5, service: 40, soft: 200, maxAge: 500},
		"other": {priority: 1, interval: 100, service: 540, soft: 1500, maxAge: 8000},
	}, 2*clock.Second)
	now := start + 3*clock.Second
	for i := range 30 {
		id := call.ID{byte(i), 2}
		d.Offer(now, admit.Request{ID: id, Priority: 1, Route: "other", MayQueue: true, Deadline: now + 8000})
	}
	g.Expect(d.UpstreamState(now).InProgress).To(Equal(4))
}

// Guards against a cold upstream that gets no calls, although its rate allows them, because the
// slowdown of its start is taken for that of its VM.
func TestColdUpstreamIsNotSlowVM(t *testing.T) {
	tests := map[string]struct {
		slowdowns []float64
		admit     bool
	}{
		"as cold":                   {[]float64{2}, true},
		"as cold after a spell":     {[]float64{8, 2}, true},
		"spell while cold":          {[]float64{2, 8}, false},
		"slower than a cold one is": {[]float64{8}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := queue.New(6)
			d.LimitColdRate(start, start+3000, 20)
			for i, slowdown := range tt.slowdowns {
				d.ObserveLoad(start+clock.Milli(i), call.LoadReport{Slowdown: slowdown})
			}
			decisions := d.Offer(start+10, newRequest(1, 0, false))
			g.Expect(decisions).To(HaveLen(1))
			g.Expect(decisions[0].Admit).To(Equal(tt.admit), "%v", decisions)
		})
	}
}
