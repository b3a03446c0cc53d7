package call

// Class is the kind of work of a call. It determines which calls are shed first.
type Class int

// The classes, from the last to be shed to the first.
//
//go:generate ../../../bin/stringer -type Class -linecomment -output class_string.go
const (
	Interactive Class = iota // interactive
	Transfer                 // transfer
	Background               // background
)

// ParseClass returns the class with the name s, and false if there is none.
func ParseClass(s string) (Class, bool) {
	for c := Interactive; c <= Background; c++ {
		if c.String() == s {
			return c, true
		}
	}
	return Interactive, false
}

// Outcome is what the entry knows about the execution of one attempt.
type Outcome int

// The outcomes of an attempt.
//
//go:generate ../../../bin/stringer -type Outcome -linecomment -output outcome_string.go
const (
	// OutcomeUnknown means that the upstream may have run the request. It is the
	// zero value, so that an attempt whose outcome was not recorded is never
	// repeated.
	OutcomeUnknown Outcome = iota // unknown
	// OutcomeNotRun means that the upstream did not run the request: no byte of it
	// reached the upstream, or the upstream refused it.
	OutcomeNotRun // not_run
	// OutcomeAnswered means that the upstream's response arrived.
	OutcomeAnswered // answered
)

// Reason explains a decision in logs and reports. Its text is stable.
type Reason int

// The reasons of choices, refusals and failures.
//
//go:generate ../../../bin/stringer -type Reason -linecomment -output reason_string.go
const (
	ReasonNone           Reason = iota // none
	ReasonLocalCool                    // local_cool
	ReasonLocalFastest                 // local_fastest
	ReasonLocalLeastBad                // local_least_bad
	ReasonRemoteCheaper                // remote_cheaper
	ReasonRemoteOnly                   // remote_only
	ReasonCentreOut                    // centre_out
	ReasonVersionShare                 // version_share
	ReasonOnlyTarget                   // only_target
	ReasonNoTarget                     // no_target
	ReasonProbation                    // probation
	ReasonExploration                  // exploration
	ReasonHedge                        // hedge
	ReasonRetry                        // retry
	ReasonSlotsFull                    // slots_full
	ReasonQueueTimeout                 // queue_timeout
	ReasonQueueFull                    // queue_full
	ReasonCold                         // cold
	ReasonBackgroundShed               // background_shed
	ReasonTransferShare                // transfer_share
	ReasonDeadline                     // deadline
	ReasonLeaving                      // leaving
	ReasonFenced                       // fenced
	ReasonDuplicate                    // duplicate
	ReasonWrongService                 // wrong_service
	ReasonDialFailed                   // dial_failed
	ReasonLinkFailed                   // link_failed
	ReasonLinkBroken                   // link_broken
	ReasonUpstreamFailed               // upstream_failed
	ReasonCancelled                    // cancelled
	ReasonRetryBudget                  // retry_budget
	ReasonRetriedBelow                 // retried_below
	ReasonMayNotRepeat                 // may_not_repeat
	ReasonTooDeep                      // too_deep
	ReasonBadRequest                   // bad_request
	ReasonUnknownService               // unknown_service
	ReasonOverload                     // overload
	ReasonEjected                      // ejected
	ReasonVersionBraked                // version_braked
	ReasonConnections                  // connections
	ReasonNoRoute                      // no_route
	ReasonNoConfig                     // no_config
	ReasonNotReady                     // not_ready
	ReasonShed                         // shed
	ReasonInvalidAnswer                // invalid_answer
	ReasonLowestCost                   // lowest_cost
	ReasonBusy                         // busy
	ReasonSlowVM                       // slow_vm
	ReasonHeaderTooLarge               // header_too_large
	ReasonBodyTooLarge                 // body_too_large
	ReasonRateLimit                    // rate_limit
	ReasonCrashes                      // crashes
	ReasonUnknownKey                   // unknown_key
	ReasonMemory                       // memory
)
