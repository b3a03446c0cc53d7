package policy

import (
	"bytes"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

type exceptionDoc struct {
	Document  string     `toml:"document"`
	ID        string     `toml:"id"`
	Effect    string     `toml:"effect"`
	Reason    string     `toml:"reason"`
	Author    string     `toml:"author,omitempty"`
	Start     *time.Time `toml:"start,omitempty"`
	End       *time.Time `toml:"end,omitempty"`
	SlotShare float64    `toml:"slot_share,omitzero"`
	Scope     scopeDoc   `toml:"scope"`
	Move      *moveDoc   `toml:"move,omitempty"`
	Route     *routeDoc  `toml:"route,omitempty"`
}

type scopeDoc struct {
	Service string `toml:"service,omitempty"`
	Route   string `toml:"route,omitempty"`
	Centre  string `toml:"centre,omitempty"`
	Version string `toml:"version,omitempty"`
}

type moveDoc struct {
	FinishBy    *time.Time `toml:"finish_by,omitempty"`
	UnprovenCap float64    `toml:"unproven_cap,omitzero"`
	Cap         float64    `toml:"cap,omitzero"`
}

type routeDoc struct {
	Class      string      `toml:"class,omitempty"`
	Timeout    clock.Milli `toml:"timeout_ms,omitzero"`
	Repeatable *bool       `toml:"repeatable,omitempty"`
}

type teamDoc struct {
	Document string   `toml:"document"`
	Name     string   `toml:"name"`
	Services []string `toml:"services"`
}

type tokenDoc struct {
	Document string     `toml:"document"`
	ID       string     `toml:"id"`
	Team     string     `toml:"team"`
	Roles    []string   `toml:"roles"`
	Hash     string     `toml:"hash"`
	Expires  *time.Time `toml:"expires,omitempty"`
}

type withdrawalDoc struct {
	Document string `toml:"document"`
	Of       string `toml:"of"`
	ID       string `toml:"id"`
	Reason   string `toml:"reason"`
}

// Encode returns the TOML text of a document, which Parse accepts. It fails for
// defaults, which operators always supply as text.
func Encode(d Document) ([]byte, error) {
	var v any
	kind := d.Kind.String()
	switch d.Kind {
	case DocumentException:
		v = newExceptionDoc(kind, d.Exception)
	case DocumentTeam:
		v = teamDoc{Document: kind, Name: d.Team.Name, Services: d.Team.Services}
	case DocumentToken:
		t := d.Token
		v = tokenDoc{Document: kind, ID: t.ID, Team: t.Team, Roles: t.Roles, Hash: t.Hash, Expires: timeOrNil(t.Expires)}
	case DocumentWithdrawal:
		w := d.Withdrawal
		v = withdrawalDoc{Document: kind, Of: w.Kind.String(), ID: w.ID, Reason: w.Reason}
	default:
		return nil, errors.Errorf("documents of kind %s cannot be encoded", d.Kind)
	}
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.Indent = ""
	if err := e.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return b.Bytes(), nil
}

func newExceptionDoc(kind string, e *Exception) exceptionDoc {
	doc := exceptionDoc{
		Document: kind, ID: e.ID, Effect: e.Effect.String(), Reason: e.Reason, Author: e.Author,
		Start: timeOrNil(e.Start), End: timeOrNil(e.End), Scope: scopeDoc(e.Scope),
	}
	if m := e.Move; m != nil {
		doc.Move = &moveDoc{FinishBy: timeOrNil(m.FinishBy), UnprovenCap: m.UnprovenCap, Cap: m.Cap}
	}
	if r := e.Route; r != nil {
		doc.SlotShare = r.SlotShare
		if e.Effect == EffectRoute {
			doc.Route = &routeDoc{Timeout: r.Timeout, Repeatable: r.Repeatable}
			if e.ClassSet {
				doc.Route.Class = r.Class.String()
			}
		}
	}
	return doc
}

func timeOrNil(m clock.Milli) *time.Time {
	if m == 0 {
		return nil
	}
	t := m.Time()
	return &t
}
