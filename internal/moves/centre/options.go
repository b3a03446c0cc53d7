package centre

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Options are the settings of a Core.
type Options struct {
	// Ramp is how long a returned data centre needs to full share.
	RampDuration clock.Milli
	// FirstShare is its share when the return begins.
	InitialShare float64
	// Stale is the age at which a status no longer counts.
	StatusTTL clock.Milli
	// Limit is the part of a slot's time that may be planned for.
	MaxUtilisation float64
	// Keep is how long a returned move stays in the list.
	Retention clock.Milli
}

// Option changes one setting.
type Option func(*Options)

// WithRampDuration sets the duration of a return.
func WithRampDuration(d clock.Milli) Option { return func(o *Options) { o.RampDuration = d } }

// WithStatusTTL sets the age at which a status no longer counts.
func WithStatusTTL(d clock.Milli) Option { return func(o *Options) { o.StatusTTL = d } }

// WithMaxUtilisation sets the part of a slot's time that may be planned for.
func WithMaxUtilisation(l float64) Option { return func(o *Options) { o.MaxUtilisation = l } }
