package policy

import (
	"fmt"
	"strings"
)

// SyntaxError says that a document is not valid TOML.
type SyntaxError struct {
	Document string
	Detail   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("document %q is not valid TOML: %s", e.Document, e.Detail)
}

// ValueError names a value that a document may not have.
type ValueError struct {
	Document string
	Key      string
	Value    string
	Allowed  string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("document %q: %s = %s is not allowed, want %s", e.Document, e.Key, e.Value, e.Allowed)
}

// UnknownKeyError names a key that a document may not have.
type UnknownKeyError struct {
	Document string
	Key      string
	Allowed  []string
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("document %q: unknown key %q, want one of %s", e.Document, e.Key, strings.Join(e.Allowed, ", "))
}

// ServerSettingError rejects a setting of an individual server.
type ServerSettingError struct {
	Document string
	Key      string
}

func (e *ServerSettingError) Error() string {
	return fmt.Sprintf("document %q: %q sets up a single server, which is not possible: "+
		"servers change within milliseconds and the daemons adapt to each of them from measurements; "+
		"use a scope of service, route, centre or version", e.Document, e.Key)
}
