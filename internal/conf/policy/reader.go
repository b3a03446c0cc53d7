package policy

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// tomlTable is a decoded TOML table.
type tomlTable = map[string]any

// reader extracts typed values from a table and keeps the first error. It records
// the keys that are read; rejectUnknownKeys reports all others. Readers of nested
// tables share firstErr.
type reader struct {
	document string
	path     string
	values   tomlTable
	seenKeys []string
	firstErr *error
}

func newReader(document string, values tomlTable) *reader {
	return &reader{document: document, values: values, firstErr: new(error)}
}

// serverKeys are common names of settings for individual servers.
var serverKeys = []string{
	"server", "servers", "upstream", "upstreams", "target", "targets", "host", "hosts",
	"address", "addresses", "ip", "vm", "member", "weight", "weights", "slots",
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const nameRequirement = "1 to 64 letters, digits, dots, dashes or underscores"

func (r *reader) setError(err error) {
	if *r.firstErr == nil {
		*r.firstErr = err
	}
}

// rejectValue sets a ValueError. The fold stores the error texts of this package in
// Outcome.Detail, which is part of the hashed state and of its snapshots, so the
// texts must stay the same in all builds.
func (r *reader) rejectValue(key string, value any, allowed string) {
	r.setError(&ValueError{Document: r.document, Key: r.path + key, Value: formatValue(value), Allowed: allowed})
}

func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "(missing)"
	case string:
		return fmt.Sprintf("%q", v)
	case time.Time:
		return v.Format(time.RFC3339)
	default:
		return fmt.Sprintf("%v", v)
	}
}

func (r *reader) lookup(key string) (any, bool) {
	r.seenKeys = append(r.seenKeys, key)
	v, ok := r.values[key]
	return v, ok
}

// readString reads an optional string.
func (r *reader) readString(key string) string {
	v, ok := r.lookup(key)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		r.rejectValue(key, v, "a string")
	}
	return s
}

// readName reads an optional name, such as that of a service. It rejects addresses,
// which refer to individual servers.
func (r *reader) readName(key string) string {
	s := r.readString(key)
	if s == "" {
		return s
	}
	if _, _, err := net.SplitHostPort(s); err == nil || net.ParseIP(s) != nil {
		r.setError(&ServerSettingError{Document: r.document, Key: r.path + key + " = " + s})
	}
	if !namePattern.MatchString(s) {
		r.rejectValue(key, s, nameRequirement)
	}
	return s
}

func (r *reader) readRequiredName(key string) string {
	s := r.readName(key)
	if s == "" {
		r.rejectValue(key, nil, nameRequirement)
	}
	return s
}

// readNumber reads an optional number from lo to hi. It returns 0 if the key is
// missing.
func (r *reader) readNumber(key string, lo, hi float64, unit string) float64 {
	v, ok := r.lookup(key)
	if !ok {
		return 0
	}
	allowed := "a number of " + unit + " from " + formatDecimal(lo) + " to " + formatDecimal(hi)
	var f float64
	switch n := v.(type) {
	case int64:
		f = float64(n)
	case float64:
		f = n
	default:
		r.rejectValue(key, v, allowed)
		return 0
	}
	if !(f >= lo && f <= hi) {
		r.rejectValue(key, v, allowed)
	}
	return f
}

func formatDecimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (r *reader) readBool(key string) *bool {
	v, ok := r.lookup(key)
	if !ok {
		return nil
	}
	b, ok := v.(bool)
	if !ok {
		r.rejectValue(key, v, "true or false")
	}
	return &b
}

// readTime reads an optional date and time with a UTC offset. It returns 0 if the
// key is missing.
func (r *reader) readTime(key string) clock.Milli {
	v, ok := r.lookup(key)
	if !ok {
		return 0
	}
	t, ok := v.(time.Time)
	// A time without an offset could mean a different instant on each daemon.
	if !ok || strings.HasSuffix(t.Location().String(), "local") {
		r.rejectValue(key, v, "a date and time with offset such as 2026-12-04T22:00:00Z")
		return 0
	}
	return clock.FromTime(t)
}

// readList reads an optional list of strings, all of which must satisfy ok.
func (r *reader) readList(key, allowed string, ok func(string) bool) []string {
	v, found := r.lookup(key)
	if !found {
		return nil
	}
	items, isList := v.([]any)
	if !isList {
		r.rejectValue(key, v, "a list of "+allowed)
		return nil
	}
	out := make([]string, 0, len(items))
	for _, item := range items {
		s, isText := item.(string)
		if !isText || !ok(s) {
			r.rejectValue(key, item, allowed)
			return nil
		}
		out = append(out, s)
	}
	return out
}

// readTable returns a reader of an optional nested table, or nil if the key is
// missing.
func (r *reader) readTable(key string) *reader {
	v, ok := r.lookup(key)
	if !ok {
		return nil
	}
	t, ok := v.(tomlTable)
	if !ok {
		r.rejectValue(key, v, "a table")
		return nil
	}
	return &reader{document: r.document, path: r.path + key + ".", values: t, firstErr: r.firstErr}
}

// readTables returns readers of an optional array of tables.
func (r *reader) readTables(key string) []*reader {
	v, ok := r.lookup(key)
	if !ok {
		return nil
	}
	list, ok := v.([]tomlTable)
	if !ok {
		r.rejectValue(key, v, "an array of tables")
		return nil
	}
	subs := make([]*reader, 0, len(list))
	for i, t := range list {
		path := fmt.Sprintf("%s%s[%d].", r.path, key, i)
		subs = append(subs, &reader{document: r.document, path: path, values: t, firstErr: r.firstErr})
	}
	return subs
}

// rejectUnknownKeys sets an error if the table has keys that were not read. Settings
// of individual servers take precedence over other unknown keys, because the
// explanation in their error is more helpful than a list of keys.
func (r *reader) rejectUnknownKeys() {
	keys := make([]string, 0, len(r.values))
	for k := range r.values {
		if !slices.Contains(r.seenKeys, k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		if slices.Contains(serverKeys, strings.ToLower(k)) {
			r.setError(&ServerSettingError{Document: r.document, Key: r.path + k})
			return
		}
	}
	if len(keys) > 0 {
		r.setError(&UnknownKeyError{Document: r.document, Key: r.path + keys[0], Allowed: r.seenKeys})
	}
}
