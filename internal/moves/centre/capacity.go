package centre

import "sort"

// Load is what the targets of a service in one data centre are offered, in
// busy slots. Offered work includes calls that were shed; otherwise shedding
// would appear to end the shortage and would start and stop in turns.
type Load struct {
	Service    string
	Centre     string
	Slots      float64
	Foreground float64
	Background float64
}

// Fit says whether capacity is enough.
type Fit int

// The degrees of fit.
//
//go:generate ../../../bin/stringer -type Fit -linecomment
const (
	FitEnough         Fit = iota // enough
	FitBackgroundShed            // background_shed
	FitTooSmall                  // too_small
)

// CapacityAssessment says whether the remaining data centres can carry a service.
type CapacityAssessment struct {
	Service string
	Fit     Fit
	// UsableSlots is what the remaining slots carry at the load limit.
	UsableSlots float64
	Foreground  float64
	Background  float64
	// Shed is the share of background work in 0..1 that is not run.
	BackgroundShedShare float64
	// Missing is the foreground load in slots that nothing can carry.
	MissingSlots float64
}

// AssessCapacity compares the load of each service with the capacity that remains.
// Share gives the share of each data centre's slots that may be used, limit
// the part of a slot's time that may be planned for.
func AssessCapacity(loads []Load, share func(centre string) float64, limit float64) []CapacityAssessment {
	byService := make(map[string]*CapacityAssessment)
	for _, l := range loads {
		j, ok := byService[l.Service]
		if !ok {
			j = &CapacityAssessment{Service: l.Service}
			byService[l.Service] = j
		}
		j.UsableSlots += l.Slots * limit * share(l.Centre)
		j.Foreground += l.Foreground
		j.Background += l.Background
	}
	out := make([]CapacityAssessment, 0, len(byService))
	for _, j := range byService {
		j.settle()
		out = append(out, *j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Service < out[b].Service })
	return out
}

func (j *CapacityAssessment) settle() {
	left := j.UsableSlots - j.Foreground
	switch {
	case left >= j.Background:
		j.Fit = FitEnough
	case left >= 0:
		j.Fit = FitBackgroundShed
		j.BackgroundShedShare = 1 - left/j.Background
	default:
		j.Fit = FitTooSmall
		j.MissingSlots = -left
		j.BackgroundShedShare = 1
	}
}
