package centre

import "sort"

// ServiceLoad is the offered load of a service in one data centre, in busy slots,
// and the number of slots there. The load includes calls that were shed; otherwise shedding
// would appear to end the shortage, and would stop and start in turns.
type ServiceLoad struct {
	Service    string
	Centre     string
	Slots      float64
	Foreground float64
	Background float64
}

// Fit says whether the remaining capacity is sufficient for a service.
type Fit int

// FitEnough means that all work can run, FitBackgroundShed that some background
// work is shed, FitTooSmall that not even the foreground work can run.
//
//go:generate ../../../bin/stringer -type Fit -linecomment
const (
	FitEnough         Fit = iota // enough
	FitBackgroundShed            // background_shed
	FitTooSmall                  // too_small
)

// CapacityAssessment compares the load of a service with the capacity of the
// remaining data centres. Loads and capacities are in slots.
type CapacityAssessment struct {
	Service string
	Fit     Fit
	// UsableSlots is the capacity at the maximum utilisation.
	UsableSlots float64
	Foreground  float64
	Background  float64
	// BackgroundShedShare is the share of background work, in 0..1, to shed.
	BackgroundShedShare float64
	// MissingSlots is the foreground load that exceeds the capacity.
	MissingSlots float64
}

// AssessCapacity compares the load of each service with the remaining capacity and
// returns the results ordered by service. The share function returns the usable share
// of a data centre's slots, in 0..1; maxUtilisation is the fraction of slot time, in
// 0..1, that may be planned for.
func AssessCapacity(loads []ServiceLoad, share func(centre string) float64, maxUtilisation float64) []CapacityAssessment {
	byService := make(map[string]*CapacityAssessment)
	for _, load := range loads {
		assessment, ok := byService[load.Service]
		if !ok {
			assessment = &CapacityAssessment{Service: load.Service}
			byService[load.Service] = assessment
		}
		assessment.UsableSlots += load.Slots * maxUtilisation * share(load.Centre)
		assessment.Foreground += load.Foreground
		assessment.Background += load.Background
	}
	out := make([]CapacityAssessment, 0, len(byService))
	for _, assessment := range byService {
		assessment.updateFit()
		out = append(out, *assessment)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Service < out[b].Service })
	return out
}

func (a *CapacityAssessment) updateFit() {
	spareSlots := a.UsableSlots - a.Foreground
	switch {
	case spareSlots >= a.Background:
		a.Fit = FitEnough
	case spareSlots >= 0:
		a.Fit = FitBackgroundShed
		a.BackgroundShedShare = 1 - spareSlots/a.Background
	default:
		a.Fit = FitTooSmall
		a.MissingSlots = -spareSlots
		a.BackgroundShedShare = 1
	}
}
