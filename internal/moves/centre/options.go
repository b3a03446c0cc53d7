package centre

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Options are the settings of a Core. New starts from defaults.
type Options struct {
	// RampDuration is how long a returning data centre takes to reach its full share.
	RampDuration clock.Milli
	// InitialShare is the share in 0..1 at which a return begins.
	InitialShare float64
	// StatusTTL is the age above which a status is ignored.
	StatusTTL clock.Milli
	// MaxUtilisation is the fraction of slot time, in 0..1, that may be planned for.
	MaxUtilisation float64
	// Retention is how long Step returns a move in state Returned whose exception is
	// no longer in force.
	Retention clock.Milli
}

// Option changes one setting of New.
type Option func(*Options)

// WithRampDuration sets how long a returning data centre takes to reach its full share.
func WithRampDuration(d clock.Milli) Option { return func(o *Options) { o.RampDuration = d } }

// WithStatusTTL sets the age above which a status is ignored.
func WithStatusTTL(d clock.Milli) Option { return func(o *Options) { o.StatusTTL = d } }

// WithMaxUtilisation sets the fraction of slot time, in 0..1, that may be planned for.
func WithMaxUtilisation(u float64) Option { return func(o *Options) { o.MaxUtilisation = u } }
