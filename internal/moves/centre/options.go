package centre

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Options are the settings of a Core.
type Options struct {
	// Ramp is how long a returned data centre needs to full share.
	Ramp clock.Milli
	// FirstShare is its share when the return begins.
	FirstShare float64
	// Stale is the age at which a status no longer counts.
	Stale clock.Milli
	// Limit is the part of a slot's time that may be planned for.
	Limit float64
	// Keep is how long a returned move stays in the list.
	Keep clock.Milli
}

// Option changes one setting.
type Option func(*Options)

// WithRamp sets the duration of a return.
func WithRamp(d clock.Milli) Option { return func(o *Options) { o.Ramp = d } }

// WithStale sets the age at which a status no longer counts.
func WithStale(d clock.Milli) Option { return func(o *Options) { o.Stale = d } }

// WithLimit sets the part of a slot's time that may be planned for.
func WithLimit(l float64) Option { return func(o *Options) { o.Limit = l } }
