package policy

import (
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// DocumentKind says what a document describes.
type DocumentKind int

// The kinds of documents.
//
//go:generate ../../../bin/stringer -type DocumentKind -linecomment -output documentkind_string.go
const (
	DocumentDefaults   DocumentKind = iota // defaults
	DocumentException                      // exception
	DocumentTeam                           // team
	DocumentToken                          // token
	DocumentWithdrawal                     // withdrawal
)

// Document is one parsed document. The field of its kind is set.
type Document struct {
	Kind       DocumentKind
	Defaults   *Defaults
	Exception  *Exception
	Team       *Team
	Token      *Token
	Withdrawal *Withdrawal
}

// Withdrawal takes a document back.
type Withdrawal struct {
	Kind   DocumentKind
	ID     string
	Reason string
}

// Limits of values.
const (
	// MaxTimeout bounds how long a guard keeps the id of a call.
	MaxTimeout = clock.Hour
	// MaxDocumentBytes keeps a change well inside one frame of 256 KiB.
	MaxDocumentBytes = 64 << 10
	maxRoutes        = 2000
)

const documentNames = "defaults, exception, team, token, withdrawal"

// Parse reads and checks a TOML document. Name appears in errors.
func Parse(name string, body []byte) (Document, error) {
	if len(body) > MaxDocumentBytes {
		return Document{}, &SyntaxError{Document: name, Detail: "larger than 64 KiB"}
	}
	var values table
	if err := toml.Unmarshal(body, &values); err != nil {
		return Document{}, &SyntaxError{Document: name, Detail: strings.TrimPrefix(err.Error(), "toml: ")}
	}
	r := newReader(name, values)
	d := read(r)
	r.done()
	return d, *r.err
}

func read(r *reader) Document {
	kind := r.text("document")
	switch kind {
	case DocumentDefaults.String():
		return Document{Kind: DocumentDefaults, Defaults: readDefaults(r)}
	case DocumentException.String():
		return Document{Kind: DocumentException, Exception: readException(r)}
	case DocumentTeam.String():
		return Document{Kind: DocumentTeam, Team: readTeam(r)}
	case DocumentToken.String():
		return Document{Kind: DocumentToken, Token: readToken(r)}
	case DocumentWithdrawal.String():
		return Document{Kind: DocumentWithdrawal, Withdrawal: readWithdrawal(r)}
	default:
		r.bad("document", r.values["document"], "one of "+documentNames)
		return Document{}
	}
}

func readDefaults(r *reader) *Defaults {
	d := &Defaults{Timeout: readTimeout(r)}
	routes := r.tables("route")
	if len(routes) > maxRoutes {
		r.bad("route", len(routes), "at most 2000 routes")
	}
	names := make(map[string]bool, len(routes))
	for _, sub := range routes {
		route := readDefaultRoute(sub)
		key := route.Service + "/" + route.Name
		if names[key] {
			sub.bad("name", route.Name, "a name that no other route of the service has")
		}
		names[key] = true
		d.Routes = append(d.Routes, route)
	}
	return d
}

func readDefaultRoute(r *reader) Route {
	route := Route{
		Name:    r.required("name"),
		Service: r.name("service"),
		Prefix:  r.text("prefix"),
		Methods: r.list("methods", "a method in capitals", isMethod),
	}
	if route.Prefix == "" {
		route.Prefix = "/"
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		r.bad("prefix", route.Prefix, "a path that begins with /")
	}
	readRules(r, &route)
	route.SlotShare = r.number("slot_share", 0.01, 1, "the slots of each upstream")
	r.done()
	return route
}

// readRules reads the keys that defaults and exceptions have in common. It
// reports whether a class was given.
func readRules(r *reader, route *Route) bool {
	route.Timeout = readTimeout(r)
	route.Repeatable = r.boolean("repeatable")
	name := r.text("class")
	if name == "" {
		return false
	}
	class, ok := call.ParseClass(name)
	if !ok {
		r.bad("class", name, "one of interactive, transfer, background")
	}
	route.Class = class
	return true
}

func readTimeout(r *reader) clock.Milli {
	return clock.Milli(r.number("timeout_ms", 1, float64(MaxTimeout), "milliseconds"))
}

func isMethod(s string) bool {
	return s != "" && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func readWithdrawal(r *reader) *Withdrawal {
	w := &Withdrawal{ID: r.required("id"), Reason: readReason(r)}
	of := r.text("of")
	kinds := []DocumentKind{DocumentException, DocumentTeam, DocumentToken}
	i := slices.IndexFunc(kinds, func(k DocumentKind) bool { return k.String() == of })
	if i < 0 {
		r.bad("of", of, "one of exception, team, token")
		return w
	}
	w.Kind = kinds[i]
	return w
}
