package policy

import (
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// DocumentKind identifies what a document describes.
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

// Document is a parsed document. Only the field that corresponds to Kind is set.
type Document struct {
	Kind       DocumentKind
	Defaults   *Defaults
	Exception  *Exception
	Team       *Team
	Token      *Token
	Withdrawal *Withdrawal
}

// Withdrawal withdraws the exception, team or token with an id.
type Withdrawal struct {
	Kind   DocumentKind
	ID     string
	Reason string
}

// Limits on documents.
const (
	// MaxTimeout is the longest timeout of a route. It also limits how long a guard
	// keeps the id of a call.
	MaxTimeout = clock.Hour
	// MaxDocumentBytes is the size limit of a document. It leaves ample room in
	// a frame of 256 KiB.
	MaxDocumentBytes = 64 << 10
	maxRoutes        = 2000
)

const documentKindNames = "defaults, exception, team, token, withdrawal"

// Parse decodes and validates a TOML document. The name only appears in errors,
// which are of the types SyntaxError, ValueError, UnknownKeyError and
// ServerSettingError.
func Parse(name string, body []byte) (Document, error) {
	if len(body) > MaxDocumentBytes {
		return Document{}, &SyntaxError{Document: name, Detail: "larger than 64 KiB"}
	}
	var values tomlTable
	if err := toml.Unmarshal(body, &values); err != nil {
		return Document{}, &SyntaxError{Document: name, Detail: strings.TrimPrefix(err.Error(), "toml: ")}
	}
	r := newReader(name, values)
	d := readDocument(r)
	r.rejectUnknownKeys()
	return d, *r.firstErr
}

func readDocument(r *reader) Document {
	kind := r.readString("document")
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
		r.rejectValue("document", r.values["document"], "one of "+documentKindNames)
		return Document{}
	}
}

func readDefaults(r *reader) *Defaults {
	d := &Defaults{Timeout: readTimeout(r)}
	routes := r.readTables("route")
	if len(routes) > maxRoutes {
		r.rejectValue("route", len(routes), "at most 2000 routes")
	}
	names := make(map[string]bool, len(routes))
	for _, sub := range routes {
		route := readDefaultRoute(sub)
		key := route.Service + "/" + route.Name
		if names[key] {
			sub.rejectValue("name", route.Name, "a name that no other route of the service has")
		}
		names[key] = true
		d.Routes = append(d.Routes, route)
	}
	return d
}

func readDefaultRoute(r *reader) Route {
	route := Route{
		Name:    r.readRequiredName("name"),
		Service: r.readName("service"),
		Prefix:  r.readString("prefix"),
		Methods: r.readList("methods", "a method in capitals", isMethod),
	}
	if route.Prefix == "" {
		route.Prefix = "/"
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		r.rejectValue("prefix", route.Prefix, "a path that begins with /")
	}
	readCommonRouteKeys(r, &route)
	route.SlotShare = r.readNumber("slot_share", 0.01, 1, "the slots of each upstream")
	r.rejectUnknownKeys()
	return route
}

// readCommonRouteKeys reads the route keys that defaults and exceptions have in
// common. It reports whether a class is set.
func readCommonRouteKeys(r *reader, route *Route) bool {
	route.Timeout = readTimeout(r)
	route.Repeatable = r.readBool("repeatable")
	name := r.readString("class")
	if name == "" {
		return false
	}
	class, ok := call.ParseClass(name)
	if !ok {
		r.rejectValue("class", name, "one of interactive, transfer, background")
	}
	route.Class = class
	return true
}

func readTimeout(r *reader) clock.Milli {
	return clock.Milli(r.readNumber("timeout_ms", 1, float64(MaxTimeout), "milliseconds"))
}

func isMethod(s string) bool {
	return s != "" && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func readWithdrawal(r *reader) *Withdrawal {
	w := &Withdrawal{ID: r.readRequiredName("id"), Reason: readReason(r)}
	of := r.readString("of")
	kinds := []DocumentKind{DocumentException, DocumentTeam, DocumentToken}
	i := slices.IndexFunc(kinds, func(k DocumentKind) bool { return k.String() == of })
	if i < 0 {
		r.rejectValue("of", of, "one of exception, team, token")
		return w
	}
	w.Kind = kinds[i]
	return w
}
