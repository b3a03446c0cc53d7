package shift

import (
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

// DescribeFinding summarises a finding in one sentence for readers without a
// technical background.
func DescribeFinding(f *trial.Finding) string {
	what := "failed"
	if f.Metric != trial.Errors {
		what = fmt.Sprintf("took longer than %.0f ms", float64(f.LatencyThreshold))
	}
	return fmt.Sprintf("on route %s, %d of %d calls to the new version %s, but only %d of %d calls to the old version at the same time",
		f.Route, f.NewBad, f.NewCalls, what, f.OldBad, f.OldCalls)
}
