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

// table is one decoded TOML table.
type table = map[string]any

// reader takes typed values out of a table and keeps the first error. Keys
// that nobody asked for are unknown.
type reader struct {
	document string
	path     string
	values   table
	known    []string
	err      *error
}

func newReader(document string, values table) *reader {
	return &reader{document: document, values: values, err: new(error)}
}

// serverKeys are keys that people use to set up single servers.
var serverKeys = []string{
	"server", "servers", "upstream", "upstreams", "target", "targets", "host", "hosts",
	"address", "addresses", "ip", "vm", "member", "weight", "weights", "slots",
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const nameAllowed = "1 to 64 letters, digits, dots, dashes or underscores"

func (r *reader) fail(err error) {
	if *r.err == nil {
		*r.err = err
	}
}

func (r *reader) bad(key string, value any, allowed string) {
	r.fail(&ValueError{Document: r.document, Key: r.path + key, Value: show(value), Allowed: allowed})
}

func show(value any) string {
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

func (r *reader) take(key string) (any, bool) {
	r.known = append(r.known, key)
	v, ok := r.values[key]
	return v, ok
}

// text reads an optional string.
func (r *reader) text(key string) string {
	v, ok := r.take(key)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		r.bad(key, v, "a string")
	}
	return s
}

// name reads an optional name of a thing.
func (r *reader) name(key string) string {
	s := r.text(key)
	if s == "" {
		return s
	}
	if _, _, err := net.SplitHostPort(s); err == nil || net.ParseIP(s) != nil {
		r.fail(&ServerSettingError{Document: r.document, Key: r.path + key + " = " + s})
	}
	if !nameForm.MatchString(s) {
		r.bad(key, s, nameAllowed)
	}
	return s
}

func (r *reader) required(key string) string {
	s := r.name(key)
	if s == "" {
		r.bad(key, nil, nameAllowed)
	}
	return s
}

// number reads an optional number in lo..hi.
func (r *reader) number(key string, lo, hi float64, unit string) float64 {
	v, ok := r.take(key)
	if !ok {
		return 0
	}
	allowed := "a number of " + unit + " from " + decimal(lo) + " to " + decimal(hi)
	var f float64
	switch n := v.(type) {
	case int64:
		f = float64(n)
	case float64:
		f = n
	default:
		r.bad(key, v, allowed)
		return 0
	}
	if !(f >= lo && f <= hi) {
		r.bad(key, v, allowed)
	}
	return f
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (r *reader) boolean(key string) *bool {
	v, ok := r.take(key)
	if !ok {
		return nil
	}
	b, ok := v.(bool)
	if !ok {
		r.bad(key, v, "true or false")
	}
	return &b
}

// instant reads an optional date and time with its offset.
func (r *reader) instant(key string) clock.Milli {
	v, ok := r.take(key)
	if !ok {
		return 0
	}
	t, ok := v.(time.Time)
	// A local time has no offset, so daemons would read it differently.
	if !ok || strings.HasSuffix(t.Location().String(), "local") {
		r.bad(key, v, "a date and time with offset such as 2026-12-04T22:00:00Z")
		return 0
	}
	return clock.FromTime(t)
}

// list reads an optional list of strings that all match ok.
func (r *reader) list(key, allowed string, ok func(string) bool) []string {
	v, found := r.take(key)
	if !found {
		return nil
	}
	items, isList := v.([]any)
	if !isList {
		r.bad(key, v, "a list of "+allowed)
		return nil
	}
	out := make([]string, 0, len(items))
	for _, item := range items {
		s, isText := item.(string)
		if !isText || !ok(s) {
			r.bad(key, item, allowed)
			return nil
		}
		out = append(out, s)
	}
	return out
}

// sub reads an optional table.
func (r *reader) sub(key string) *reader {
	v, ok := r.take(key)
	if !ok {
		return nil
	}
	t, ok := v.(table)
	if !ok {
		r.bad(key, v, "a table")
		return nil
	}
	return &reader{document: r.document, path: r.path + key + ".", values: t, err: r.err}
}

// tables reads an optional array of tables.
func (r *reader) tables(key string) []*reader {
	v, ok := r.take(key)
	if !ok {
		return nil
	}
	list, ok := v.([]table)
	if !ok {
		r.bad(key, v, "an array of tables")
		return nil
	}
	subs := make([]*reader, 0, len(list))
	for i, t := range list {
		path := fmt.Sprintf("%s%s[%d].", r.path, key, i)
		subs = append(subs, &reader{document: r.document, path: path, values: t, err: r.err})
	}
	return subs
}

// done reports the keys that nobody read. Settings of single servers come
// first, because their explanation helps more than a list of keys.
func (r *reader) done() {
	keys := make([]string, 0, len(r.values))
	for k := range r.values {
		if !slices.Contains(r.known, k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		if slices.Contains(serverKeys, strings.ToLower(k)) {
			r.fail(&ServerSettingError{Document: r.document, Key: r.path + k})
			return
		}
	}
	if len(keys) > 0 {
		r.fail(&UnknownKeyError{Document: r.document, Key: r.path + keys[0], Allowed: r.known})
	}
}
