package policy

import (
	"fmt"
	"strings"
)

// SyntaxError reports a document that is not valid TOML or too large.
type SyntaxError struct {
	Document string
	Detail   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("document %q is not valid TOML: %s", e.Document, e.Detail)
}

// ValueError reports a missing or invalid value. Allowed describes valid ones.
type ValueError struct {
	Document string
	Key      string
	Value    string
	Allowed  string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("document %q: %s = %s is not allowed, want %s", e.Document, e.Key, e.Value, e.Allowed)
}

// UnknownKeyError reports an unknown key. Allowed lists the keys of its table.
type UnknownKeyError struct {
	Document string
	Key      string
	Allowed  []string
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("document %q: unknown key %q, want one of %s", e.Document, e.Key, strings.Join(e.Allowed, ", "))
}

// ServerSettingError reports a setting for an individual server. Documents can't
// contain any.
type ServerSettingError struct {
	Document string
	Key      string
}

func (e *ServerSettingError) Error() string {
	return fmt.Sprintf("document %q: %q sets up a single server, which is not possible: "+
		"servers change within milliseconds and the daemons adapt to each of them from measurements; "+
		"use a scope of service, route, centre or version", e.Document, e.Key)
}
