package policy

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// Defaults of a version move and requirements on a written reason.
const (
	// DefaultUnprovenCap is the default of VersionMove.UnprovenCap. It limits the
	// traffic that a bad version receives until enough calls were observed to
	// compare the versions.
	DefaultUnprovenCap = 0.05
	defaultMoveCap     = 1
	maxReasonRunes     = 500
	minReasonRunes     = 20
	minReasonWords     = 4
	minDistinctWords   = 3
)

const (
	effectNames       = "centre_out, version_move, route, shed_background, route_cap"
	reasonRequirement = "a sentence of at least 4 words that says why, with a capital letter first and a full stop last"
)

func readException(r *reader) *Exception {
	e := &Exception{
		ID:     r.readRequiredName("id"),
		Reason: readReason(r),
		Author: r.readString("author"),
		Start:  r.readTime("start"),
		End:    r.readTime("end"),
	}
	if e.End != 0 && e.End <= e.Start {
		r.rejectValue("end", r.values["end"], "an instant after start")
	}
	if sub := r.readTable("scope"); sub != nil {
		e.Scope = Scope{
			Service: sub.readName("service"),
			Route:   sub.readName("route"),
			Centre:  sub.readName("centre"),
			Version: sub.readName("version"),
		}
		sub.rejectUnknownKeys()
	}
	name := r.readString("effect")
	for f := EffectCentreOut; f <= EffectRouteCap; f++ {
		if f.String() == name {
			e.Effect = f
		}
	}
	readEffect(r, e, name)
	return e
}

// scopeRule marks the scope fields that an effect requires, and those that it
// accepts in addition.
type scopeRule struct {
	required, optional Scope
}

// present marks a field in a scopeRule.
const present = "yes"

var scopeRules = map[Effect]scopeRule{
	EffectCentreOut:      {required: Scope{Centre: present}},
	EffectVersionMove:    {required: Scope{Service: present, Version: present}},
	EffectRoute:          {required: Scope{Service: present, Route: present}},
	EffectRouteCap:       {required: Scope{Service: present, Route: present}},
	EffectShedBackground: {optional: Scope{Service: present, Centre: present}},
}

func checkScope(r *reader, e *Exception) {
	rule := scopeRules[e.Effect]
	check := func(key, value, required, optional string) {
		switch {
		case required == present && value == "":
			r.rejectValue("scope."+key, nil, "the "+key+" that "+e.Effect.String()+" is for")
		case required == "" && optional == "" && value != "":
			r.rejectValue("scope."+key, value, "no "+key+", as "+e.Effect.String()+" can't be limited to one")
		}
	}
	s := e.Scope
	check("service", s.Service, rule.required.Service, rule.optional.Service)
	check("route", s.Route, rule.required.Route, rule.optional.Route)
	check("centre", s.Centre, rule.required.Centre, rule.optional.Centre)
	check("version", s.Version, rule.required.Version, rule.optional.Version)
}

func readEffect(r *reader, e *Exception, name string) {
	switch e.Effect {
	case EffectNone:
		r.rejectValue("effect", name, "one of "+effectNames)
		return
	case EffectVersionMove:
		readMove(r, e)
	case EffectRoute:
		readRouteException(r, e)
	case EffectRouteCap:
		share := r.readNumber("slot_share", 0.01, 1, "the slots of each upstream")
		if share == 0 {
			r.rejectValue("slot_share", nil, "a number from 0.01 to 1")
		}
		e.Route = &Route{SlotShare: share}
	default:
	}
	checkScope(r, e)
}

func readMove(r *reader, e *Exception) {
	m := &VersionMove{
		ID: e.ID, Service: e.Scope.Service, NewVersion: e.Scope.Version,
		Start: e.Start, Reason: e.Reason, Author: e.Author,
		UnprovenCap: DefaultUnprovenCap, Cap: defaultMoveCap,
	}
	e.Move = m
	sub := r.readTable("move")
	if sub == nil {
		r.rejectValue("move", nil, "a table with finish_by")
		return
	}
	m.FinishBy = sub.readTime("finish_by")
	if m.FinishBy == 0 || m.FinishBy <= e.Start {
		sub.rejectValue("finish_by", sub.values["finish_by"], "an instant after start")
	}
	if c := sub.readNumber("unproven_cap", 0.001, 1, "the traffic"); c != 0 {
		m.UnprovenCap = c
	}
	if c := sub.readNumber("cap", 0.001, 1, "the traffic"); c != 0 {
		m.Cap = c
	}
	if m.UnprovenCap > m.Cap {
		sub.rejectValue("unproven_cap", m.UnprovenCap, "a number that is not above cap")
	}
	if e.End != 0 {
		r.rejectValue("end", r.values["end"], "no end, as a version move ends with its verdict")
	}
	sub.rejectUnknownKeys()
}

func readRouteException(r *reader, e *Exception) {
	e.Route = &Route{}
	sub := r.readTable("route")
	if sub == nil {
		r.rejectValue("route", nil, "a table with timeout_ms, class or repeatable")
		return
	}
	e.ClassSet = readCommonRouteKeys(sub, e.Route)
	if len(sub.values) == 0 {
		r.rejectValue("route", "(empty)", "at least one of timeout_ms, class, repeatable")
	}
	sub.rejectUnknownKeys()
}

func readReason(r *reader) string {
	s := r.readString("reason")
	if !IsValidReason(s) {
		r.rejectValue("reason", s, reasonRequirement)
	}
	return s
}

// IsValidReason reports whether s has the form of a written reason. It rejects
// placeholders but does not judge the content.
func IsValidReason(s string) bool {
	s = strings.TrimSpace(s)
	if n := utf8.RuneCountInString(s); n < minReasonRunes || n > maxReasonRunes {
		return false
	}
	first, _ := utf8.DecodeRuneInString(strings.TrimLeft(s, "¿¡\"„«"))
	if !unicode.IsUpper(first) && !unicode.IsDigit(first) {
		return false
	}
	if !strings.ContainsRune(".!?", rune(s[len(s)-1])) {
		return false
	}
	words := strings.FieldsFunc(strings.ToLower(s), func(c rune) bool { return !unicode.IsLetter(c) && !unicode.IsDigit(c) })
	distinct := make(map[string]bool, len(words))
	for _, w := range words {
		if utf8.RuneCountInString(w) > 1 {
			distinct[w] = true
		}
	}
	return len(words) >= minReasonWords && len(distinct) >= minDistinctWords
}
