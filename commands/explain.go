package commands

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

func init() {
	Register("explain", "explain where traffic went and why",
		"Explains in whole sentences where traffic went, which default or exception sent it there, what was refused and how moves ended.",
		&explainCommand{})
}

type explainCommand struct {
	APIOptions
	Service string        `long:"service" description:"only this service"`
	Centre  string        `long:"centre" description:"only this data centre"`
	Move    string        `long:"move" description:"only the move of this exception id"`
	Request string        `long:"request" description:"only this request id"`
	Last    time.Duration `long:"last" default:"15m" description:"time span before --until"`
	Until   string        `long:"until" description:"end of the time span in RFC 3339; now by default"`
	Format  string        `long:"format" choice:"text" choice:"toml" choice:"json" default:"text" description:"form of the report"`
}

// Execute implements flags.Commander.
func (e *explainCommand) Execute([]string) error {
	until := time.Now()
	if e.Until != "" {
		t, err := time.Parse(time.RFC3339, e.Until)
		if err != nil {
			return errors.Errorf("--until %q is not of the form 2026-12-04T22:00:00Z", e.Until)
		}
		until = t
	}
	q := url.Values{
		"service": {e.Service}, "centre": {e.Centre}, "move": {e.Move}, "request": {e.Request},
		"from_ms": {fmt.Sprint(until.Add(-e.Last).UnixMilli())}, "to_ms": {fmt.Sprint(until.UnixMilli())},
		"format": {e.Format},
	}
	if e.OutputFormat == "json" {
		q.Set("format", "json")
	}
	status, respBody, err := e.send(http.MethodGet, "/v1/explain", q, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("the daemon answered with status %d: %s", status, respBody)
	}
	printOutput("%s\n", respBody)
	return nil
}
