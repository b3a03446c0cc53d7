package logs

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// leadingKeys are the keys of the fields that start each line, in this order.
var leadingKeys = [][]byte{[]byte("time"), []byte("level"), []byte("event")}

// field is one member of a JSON object. Both parts are still JSON-encoded; the
// key lacks its quotes.
type field struct {
	key, value []byte
}

// converter converts zerolog's JSON objects to lines of key=value pairs. It
// reuses its buffer between lines and is not safe for concurrent use.
type converter struct {
	fields []field
}

// appendLines converts the objects in src, each of which ends with a line feed,
// and appends the lines to dst.
func (c *converter) appendLines(dst, src []byte) []byte {
	for len(src) > 0 {
		line, rest, _ := bytes.Cut(src, []byte{'\n'})
		src = rest
		dst = c.appendLine(dst, line)
	}
	return dst
}

func (c *converter) appendLine(dst, line []byte) []byte {
	if !c.splitFields(line) {
		return append(append(dst, line...), '\n')
	}
	start := len(dst)
	for _, key := range leadingKeys {
		for _, f := range c.fields {
			if bytes.Equal(f.key, key) {
				dst = appendField(dst, start, f)
				break
			}
		}
	}
	for _, f := range c.fields {
		if !isLeadingKey(f.key) {
			dst = appendField(dst, start, f)
		}
	}
	return append(dst, '\n')
}

func isLeadingKey(key []byte) bool {
	for _, l := range leadingKeys {
		if bytes.Equal(key, l) {
			return true
		}
	}
	return false
}

func appendField(dst []byte, start int, f field) []byte {
	if len(dst) > start {
		dst = append(dst, ' ')
	}
	dst = append(append(dst, f.key...), '=')
	if len(f.value) < 2 || f.value[0] != '"' {
		if isPlain(f.value) {
			return append(dst, f.value...)
		}
		return strconv.AppendQuote(dst, string(f.value))
	}
	inner := f.value[1 : len(f.value)-1]
	if isPlain(inner) {
		return append(dst, inner...)
	}
	var s string
	if json.Unmarshal(f.value, &s) != nil {
		s = string(inner)
	}
	return strconv.AppendQuote(dst, s)
}

// isPlain reports whether v can be written without quotes.
func isPlain(v []byte) bool {
	for _, b := range v {
		if b <= ' ' || b == '=' || b == '"' || b == '\\' || b >= 0x7f {
			return false
		}
	}
	return len(v) > 0
}

// splitFields sets c.fields to the members of the JSON object in line, without
// decoding them. It returns false if line is not an object.
func (c *converter) splitFields(line []byte) bool {
	c.fields = c.fields[:0]
	if len(line) < 2 || line[0] != '{' || line[len(line)-1] != '}' {
		return false
	}
	rest := line[1 : len(line)-1]
	for len(rest) > 0 {
		n := valueEnd(rest)
		if rest[0] != '"' || n < 2 || n >= len(rest) || rest[n] != ':' {
			return false
		}
		f := field{key: rest[1 : n-1]}
		rest = rest[n+1:]
		n = valueEnd(rest)
		f.value, rest = rest[:n], rest[n:]
		c.fields = append(c.fields, f)
		if len(rest) > 0 {
			rest = rest[1:]
		}
	}
	return true
}

// valueEnd returns the length of the JSON value at the start of b.
func valueEnd(b []byte) int {
	depth, quoted := 0, false
	for i := 0; i < len(b); i++ {
		switch {
		case quoted && b[i] == '\\':
			i++
		case b[i] == '"':
			quoted = !quoted
		case quoted:
		case b[i] == '{' || b[i] == '[':
			depth++
		case b[i] == '}' || b[i] == ']':
			depth--
		case depth == 0 && (b[i] == ',' || b[i] == ':'):
			return i
		}
	}
	return len(b)
}
