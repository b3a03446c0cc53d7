package policy

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// Defaults of a version move.
const (
	// DefaultUnprovenCap limits what a bad version reaches before the test
	// between the versions has seen enough calls.
	DefaultUnprovenCap = 0.05
	defaultMoveCap     = 1
	maxReasonRunes     = 500
	minReasonRunes     = 20
	minReasonWords     = 4
	minDistinctWords   = 3
)

const (
	effectNames = "centre_out, version_move, route, shed_background, route_cap"
	sentence    = "a sentence of at least 4 words that says why, with a capital letter first and a full stop last"
)

func readException(r *reader) *Exception {
	e := &Exception{
		ID:     r.required("id"),
		Reason: readReason(r),
		Author: r.text("author"),
		Start:  r.instant("start"),
		End:    r.instant("end"),
	}
	if e.End != 0 && e.End <= e.Start {
		r.bad("end", r.values["end"], "an instant after start")
	}
	if sub := r.sub("scope"); sub != nil {
		e.Scope = Scope{
			Service: sub.name("service"),
			Route:   sub.name("route"),
			Centre:  sub.name("centre"),
			Version: sub.name("version"),
		}
		sub.done()
	}
	name := r.text("effect")
	for f := EffectCentreOut; f <= EffectRouteCap; f++ {
		if f.String() == name {
			e.Effect = f
		}
	}
	readEffect(r, e, name)
	return e
}

// scopeRule says which fields of a scope an effect needs and accepts.
type scopeRule struct {
	needs, accepts Scope
}

const yes = "yes"

var scopeRules = map[Effect]scopeRule{
	EffectCentreOut:      {needs: Scope{Centre: yes}},
	EffectVersionMove:    {needs: Scope{Service: yes, Version: yes}},
	EffectRoute:          {needs: Scope{Service: yes, Route: yes}},
	EffectRouteCap:       {needs: Scope{Service: yes, Route: yes}},
	EffectShedBackground: {accepts: Scope{Service: yes, Centre: yes}},
}

func checkScope(r *reader, e *Exception) {
	rule := scopeRules[e.Effect]
	check := func(key, value, needs, accepts string) {
		switch {
		case needs == yes && value == "":
			r.bad("scope."+key, nil, "the "+key+" that "+e.Effect.String()+" is for")
		case needs == "" && accepts == "" && value != "":
			r.bad("scope."+key, value, "no "+key+", as "+e.Effect.String()+" can't be limited to one")
		}
	}
	s := e.Scope
	check("service", s.Service, rule.needs.Service, rule.accepts.Service)
	check("route", s.Route, rule.needs.Route, rule.accepts.Route)
	check("centre", s.Centre, rule.needs.Centre, rule.accepts.Centre)
	check("version", s.Version, rule.needs.Version, rule.accepts.Version)
}

func readEffect(r *reader, e *Exception, name string) {
	switch e.Effect {
	case EffectNone:
		r.bad("effect", name, "one of "+effectNames)
		return
	case EffectVersionMove:
		readMove(r, e)
	case EffectRoute:
		readRouteException(r, e)
	case EffectRouteCap:
		share := r.number("slot_share", 0.01, 1, "the slots of each upstream")
		if share == 0 {
			r.bad("slot_share", nil, "a number from 0.01 to 1")
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
	sub := r.sub("move")
	if sub == nil {
		r.bad("move", nil, "a table with finish_by")
		return
	}
	m.FinishBy = sub.instant("finish_by")
	if m.FinishBy == 0 || m.FinishBy <= e.Start {
		sub.bad("finish_by", sub.values["finish_by"], "an instant after start")
	}
	if c := sub.number("unproven_cap", 0.001, 1, "the traffic"); c != 0 {
		m.UnprovenCap = c
	}
	if c := sub.number("cap", 0.001, 1, "the traffic"); c != 0 {
		m.Cap = c
	}
	if m.UnprovenCap > m.Cap {
		sub.bad("unproven_cap", m.UnprovenCap, "a number that is not above cap")
	}
	if e.End != 0 {
		r.bad("end", r.values["end"], "no end, as a version move ends with its verdict")
	}
	sub.done()
}

func readRouteException(r *reader, e *Exception) {
	e.Route = &Route{}
	sub := r.sub("route")
	if sub == nil {
		r.bad("route", nil, "a table with timeout_ms, class or repeatable")
		return
	}
	e.ClassSet = readRules(sub, e.Route)
	if len(sub.values) == 0 {
		r.bad("route", "(empty)", "at least one of timeout_ms, class, repeatable")
	}
	sub.done()
}

func readReason(r *reader) string {
	s := r.text("reason")
	if !IsValidReason(s) {
		r.bad("reason", s, sentence)
	}
	return s
}

// IsValidReason reports whether s can pass as a written reason. It rejects
// placeholders; whether the reason is good is for the readers to judge.
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
