package commands

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
)

func init() {
	Register("status", "show the configuration's state",
		"Shows the revision in force and where, or what became of a change.", &status{})
	Register("history", "list the last changes",
		"Lists the last changes, the newest first.", &history{})
}

type status struct {
	APIOptions
	ID string `long:"change" description:"id of a change to ask about"`
}

// Execute runs the command.
func (s *status) Execute([]string) error {
	if s.ID != "" {
		return s.ask()
	}
	var v server.Status
	if printed, err := s.get("/v1/status", nil, &v); printed || err != nil {
		return err
	}
	t := newTable("REVISION", "IN FORCE", "READY", "LOG", "CENTRES OUT", "DETAIL")
	inForce := fmt.Sprintf("%d of %d", v.InForce.InForce, v.InForce.Live)
	t.row(fmt.Sprint(v.Revision), inForce, strconv.FormatBool(v.Ready), v.Log.State,
		dash(strings.Join(v.CentresOut, " ")), dash(v.Log.Detail))
	t.flush()
	if len(v.InForce.Missing) > 0 {
		say("not in force at: %s\n", strings.Join(v.InForce.Missing, " "))
	}
	return nil
}

// ask exits like the command that published the change.
func (s *status) ask() error {
	code, answer, err := s.send(http.MethodGet, "/v1/changes/"+url.PathEscape(s.ID), nil, nil, nil)
	if err != nil {
		return err
	}
	if code != http.StatusOK && code != http.StatusAccepted {
		return s.failure(code, answer)
	}
	if err := s.printChange(answer, code == http.StatusAccepted, ""); err != nil {
		return err
	}
	var v server.Change
	if json.Unmarshal(answer, &v) == nil && v.Status != "accepted" {
		return fmt.Errorf("%s: %s", v.Status, v.Detail)
	}
	return nil
}

type history struct {
	APIOptions
	PageOptions
}

// Execute runs the command.
func (h *history) Execute([]string) error {
	var page server.Page[server.HistoryItem]
	if printed, err := h.get("/v1/history", h.query(), &page); printed || err != nil {
		return err
	}
	t := newTable("OFFSET", "STATUS", "BY", "AT", "SUBJECT", "REASON", "DETAIL", "ID")
	for _, c := range page.Items {
		t.row(fmt.Sprint(c.Offset), c.Status, c.By, c.At, c.Subject, dash(c.Reason), dash(c.Detail), c.ID)
	}
	t.flush()
	h.more(page.Next)
	return nil
}
