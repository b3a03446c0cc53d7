package report

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// lineWidth is the column at which text is wrapped.
const lineWidth = 100

// Text returns the report as plain text, wrapped at 100 columns.
func (r *Report) Text() string {
	var b strings.Builder
	b.WriteString(r.Title + "\n")
	for _, s := range r.Sections {
		b.WriteString("\n" + s.Heading + "\n\n")
		for _, t := range s.Sentences {
			b.WriteString(wrapListItem(t))
		}
	}
	return b.String()
}

// wrapListItem returns a sentence as a wrapped list item.
func wrapListItem(sentence string) string {
	var b strings.Builder
	line := "-"
	for _, word := range strings.Fields(sentence) {
		if len(line)+1+len(word) > lineWidth {
			b.WriteString(line + "\n")
			line = " "
		}
		line += " " + word
	}
	b.WriteString(line + "\n")
	return b.String()
}

// TOML returns the report as a TOML document.
func (r *Report) TOML() (string, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(r); err != nil {
		return "", errors.Wrap(err, "encode report")
	}
	return b.String(), nil
}

// JSON returns the report as a JSON document.
func (r *Report) JSON() (string, error) {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode report")
	}
	return string(b) + "\n", nil
}
