package mesh

import (
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/meter"
)

// startStep is a step of a daemon from its start to its first answer.
type startStep int

//go:generate ../../../bin/stringer -type startStep -linecomment -output startstep_string.go
const (
	// stepConfigured is reached once a configuration is in force.
	stepConfigured startStep = iota // configured
	// stepConfirmed is reached once the upstream has answered a health check.
	stepConfirmed // confirmed
	// stepAnswered is reached once a call of the entry was answered by an upstream.
	stepAnswered // answered
	// startSteps is the number of steps.
	startSteps // none
)

// startLog records when a daemon reached each step after its start, for operators who want
// to see a return. It is safe for concurrent use.
type startLog struct {
	clock     clock.Clock
	log       zerolog.Logger
	startedAt clock.Milli

	mu sync.Mutex
	// took has the time from the start to each step, zero before it is reached.
	took [startSteps]clock.Milli
}

func newStartLog(clk clock.Clock, log zerolog.Logger) *startLog {
	return &startLog{clock: clk, log: log, startedAt: clk.Now()}
}

// reach records that a step is reached, unless it was before.
func (s *startLog) reach(step startStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.took[step] > 0 {
		return
	}
	// At least the resolution of the clock, as zero means not reached.
	s.took[step] = max(clock.Millisecond, s.clock.Now()-s.startedAt)
	s.log.Info().Stringer("step", step).Float64("ms", float64(s.took[step])).Msg("start_step")
}

// after returns the time from the start to a step, zero before it is reached.
func (s *startLog) after(step startStep) clock.Milli {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.took[step]
}

// addGauges registers a gauge for each step.
func (s *startLog) addGauges(m *meter.Meter) {
	for step := range startSteps {
		m.AddGauge("start_"+step.String()+"_seconds", func() float64 { return float64(s.after(step) / clock.Second) })
	}
}
