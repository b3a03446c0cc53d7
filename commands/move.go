package commands

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
)

func init() {
	Register("move", "take a data centre out or back",
		"Takes a data centre out of service or returns it.", &moveCommand{})
	Register("version", "move a service to a new version",
		"Moves the traffic of a service to a new version by a set time.", &versionCommand{})
}

type moveCommand struct {
	APIOptions
	ChangeOptions
	Reason string `long:"reason" required:"yes" description:"a sentence that says why"`
	Start  string `long:"start" description:"when it begins, such as 2026-12-04T22:00:00Z"`
	End    string `long:"end" description:"when it ends by itself"`
	Args   struct {
		Direction string `positional-arg-name:"out|back"`
		Centre    string `positional-arg-name:"CENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (m *moveCommand) Execute([]string) error {
	req := server.MoveRequest{Centre: m.Args.Centre, Direction: m.Args.Direction, Reason: m.Reason}
	if req.Direction != server.DirectionOut && req.Direction != server.DirectionBack {
		return &ExitError{Code: ExitUsage, Err: errors.Errorf("direction %q is neither out nor back", req.Direction)}
	}
	var err error
	if req.Start, err = parseOptionalTime("start", m.Start); err != nil {
		return err
	}
	if req.End, err = parseOptionalTime("end", m.End); err != nil {
		return err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return m.publishChange(m.ChangeOptions, http.MethodPost, "/v1/moves", body)
}

type versionCommand struct {
	APIOptions
	ChangeOptions
	ID          string  `long:"id" description:"id of the exception; made of service and version by default"`
	Reason      string  `long:"reason" required:"yes" description:"a sentence that says why"`
	Start       string  `long:"start" description:"when it begins, such as 2026-12-04T22:00:00Z"`
	FinishBy    string  `long:"finish-by" required:"yes" description:"when all traffic is to be moved"`
	UnprovenCap float64 `long:"unproven-cap" description:"largest share of traffic before the version is proven, 0.05 by default"`
	Cap         float64 `long:"cap" description:"largest share of traffic at any time, 1 by default"`
	Args        struct {
		Service string `positional-arg-name:"SERVICE"`
		Version string `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *versionCommand) Execute([]string) error {
	req := server.VersionMoveRequest{
		ID: v.ID, Service: v.Args.Service, Version: v.Args.Version, Reason: v.Reason,
		UnprovenCap: v.UnprovenCap, Cap: v.Cap,
	}
	var err error
	if req.Start, err = parseOptionalTime("start", v.Start); err != nil {
		return err
	}
	if req.FinishBy, err = parseOptionalTime("finish-by", v.FinishBy); err != nil {
		return err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return v.publishChange(v.ChangeOptions, http.MethodPost, "/v1/version-moves", body)
}

// parseOptionalTime parses the RFC 3339 value of an option; an empty one is nil.
func parseOptionalTime(name, s string) (*time.Time, error) {
	if s == "" {
		return nil, nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.Errorf("--%s %q is not of the form 2026-12-04T22:00:00Z", name, s)}
	}
	return &t, nil
}
