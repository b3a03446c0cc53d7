package report

import "gitlab.com/cranberrytack/cranberrytack/internal/core/call"

// reasonClauses holds, for each reason, the clause that follows "because".
var reasonClauses = map[call.Reason]string{
	call.ReasonNone:           "no reason was recorded",
	call.ReasonLocalCool:      "a lightly loaded server in the same data centre was free",
	call.ReasonLocalFastest:   "it was the fastest server in the same data centre",
	call.ReasonLocalLeastBad:  "all servers in the same data centre were busy and it was the least busy one",
	call.ReasonRemoteCheaper:  "another data centre was expected to answer sooner than the caller's own",
	call.ReasonRemoteOnly:     "the caller's own data centre had no server for it",
	call.ReasonCentreOut:      "a data centre was out of service",
	call.ReasonVersionShare:   "a version move had set this part of the traffic aside for its version",
	call.ReasonOnlyTarget:     "there was only one server",
	call.ReasonNoTarget:       "no server was available",
	call.ReasonProbation:      "a server that had failed was being tried again",
	call.ReasonExploration:    "little was known about this server and it was tried",
	call.ReasonHedge:          "the first attempt was slow and a second one was made",
	call.ReasonRetry:          "an earlier attempt had not been run",
	call.ReasonSlotsFull:      "all places at the server were taken",
	call.ReasonQueueTimeout:   "it had waited too long for a place",
	call.ReasonQueueFull:      "too many calls were waiting already",
	call.ReasonCold:           "the server had just started and could not take more yet",
	call.ReasonCrashes:        "servers had crashed while they ran the same request, so it was held back",
	call.ReasonMemory:         "the daemon had no memory left for the call",
	call.ReasonRateLimit:      "the server had asked for fewer requests a second than were sent to it",
	call.ReasonBackgroundShed: "background work was put off to keep capacity for users",
	call.ReasonTransferShare:  "uploads and downloads already held their part of the places",
	call.ReasonDeadline:       "the caller's time limit had passed",
	call.ReasonLeaving:        "the server was being shut down",
	call.ReasonFenced:         "the caller had given it up before it ran",
	call.ReasonDuplicate:      "the same request had arrived before",
	call.ReasonWrongService:   "it reached a server of another service",
	call.ReasonDialFailed:     "the server could not be reached",
	call.ReasonLinkFailed:     "the connection failed",
	call.ReasonLinkBroken:     "the connection broke after the request was sent",
	call.ReasonUpstreamFailed: "the server broke off its response",
	call.ReasonCancelled:      "the caller cancelled it",
	call.ReasonRetryBudget:    "too many calls were being repeated already",
	call.ReasonRetriedBelow:   "it had been repeated at a lower level already",
	call.ReasonMayNotRepeat:   "it may not be executed twice",
	call.ReasonTooDeep:        "the chain of calls was too long",
	call.ReasonBadRequest:     "the request was malformed",
	call.ReasonUnknownService: "there is no such service",
	call.ReasonOverload:       "the service had more calls than it could serve",
	call.ReasonEjected:        "the server had failed too often",
	call.ReasonVersionBraked:  "the new version had been found to be worse",
	call.ReasonConnections:    "the server accepts no more connections",
}

func reasonClause(r call.Reason) string {
	if w, ok := reasonClauses[r]; ok {
		return w
	}
	return "of the reason " + r.String()
}

// eventClauses holds, for each kind of event, a clause to which the event's
// detail is appended.
var eventClauses = map[EventKind]string{
	EventDraining:         "the data centre stopped taking new work",
	EventDone:             "the data centre was empty and the move was done",
	EventReturning:        "the data centre began to take work again, a little at first",
	EventReturned:         "the data centre had its full share of work again",
	EventBraked:           "the new version was found to be worse and its traffic was stopped at once",
	EventTakenBack:        "the new version was taken back for good",
	EventProven:           "the new version was found to be as good as the old one and may take over more traffic",
	EventBackgroundShed:   "background work was put off because the remaining data centres could not carry everything",
	EventTooSmall:         "the remaining data centres could not carry all work of users",
	EventTooLittleTraffic: "there was too little traffic to compare the versions",
	EventBlocked:          "the move could not be done yet",
	EventAdopted:          "the new version took over all traffic for good",
}
