package pick

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

const (
	// skillSmooth is the weight of one call in the errors of a target,
	// serviceSmooth in those of the service.
	skillSmooth   = 0.05
	serviceSmooth = 0.01
	// believed and doubted are the ratios of the error with views to that
	// without: up to the first a view counts fully, from the second on not
	// at all.
	believed = 1.05
	doubted  = 1.25
	// worst bounds the error of one call in multiples of the usual latency.
	worst = 5.0
)

// skill compares how well views predict the latency of calls with how well
// this entry's own knowledge does. Reports that are stale, frozen or false
// predict worse than none.
type skill struct {
	view, own float64
}

func (s *skill) learn(rate, view, own float64) {
	if s.own == 0 {
		s.view, s.own = 1, 1
	}
	s.view += rate * (view - s.view)
	s.own += rate * (own - s.own)
}

func (s *skill) trust() float64 {
	if s.own == 0 || s.view <= believed*s.own {
		return 1
	}
	return max(0, (doubted-s.view/s.own)/(doubted-believed))
}

// trust is how far the view of a target counts.
func (p *Picker) trust(e *entry) float64 {
	return min(p.skill.trust(), e.skill.trust())
}

// predict notes what a chosen target is expected to take.
func (p *Picker) predict(now clock.Milli, q *Query, e *entry) {
	d := p.distance(q, e)
	e.byView, e.byOwn = d+p.expect(now, e, 1), d+p.expect(now, e, 0)
}

// compare learns from the latency of a call that ended.
func (p *Picker) compare(e *entry, latency clock.Milli) {
	if e.byView == 0 {
		return
	}
	usual := p.mean.usual()
	actual := min(float64(latency/usual), worst)
	view, own := square(actual-float64(e.byView/usual)), square(actual-float64(e.byOwn/usual))
	e.skill.learn(skillSmooth, view, own)
	p.skill.learn(serviceSmooth, view, own)
}

func square(x float64) float64 {
	return min(x*x, worst*worst)
}
