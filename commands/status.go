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
		"Shows the revision in force and where, or what became of a change.", &statusCommand{})
	Register("history", "list the last changes",
		"Lists the last changes, the newest first.", &historyCommand{})
}

type statusCommand struct {
	APIOptions
	ID string `long:"change" description:"id of a change to ask about"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	if s.ID != "" {
		return s.showChange()
	}
	var v server.Status
	if printed, err := s.getOrPrintJSON("/v1/status", nil, &v); printed || err != nil {
		return err
	}
	t := newTable("REVISION", "IN FORCE", "READY", "LOG", "CENTRES OUT", "DETAIL")
	inForce := fmt.Sprintf("%d of %d", v.InForce.InForce, v.InForce.Live)
	t.row(fmt.Sprint(v.Revision), inForce, strconv.FormatBool(v.Ready), v.Log.State,
		orDash(strings.Join(v.CentresOut, " ")), orDash(v.Log.Detail))
	t.flush()
	if len(v.InForce.Missing) > 0 {
		printOutput("not in force at: %s\n", strings.Join(v.InForce.Missing, " "))
	}
	return nil
}

// showChange prints the outcome of a change and returns an error unless it was
// accepted. The exit code is that of the command that published the change.
func (s *statusCommand) showChange() error {
	status, respBody, err := s.send(http.MethodGet, "/v1/changes/"+url.PathEscape(s.ID), nil, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK && status != http.StatusAccepted {
		return s.responseError(status, respBody)
	}
	if err := s.printChange(respBody, status == http.StatusAccepted, ""); err != nil {
		return err
	}
	var v server.Change
	if json.Unmarshal(respBody, &v) == nil && v.Status != "accepted" {
		return fmt.Errorf("%s: %s", v.Status, v.Detail)
	}
	return nil
}

type historyCommand struct {
	APIOptions
	PageOptions
}

// Execute implements flags.Commander.
func (h *historyCommand) Execute([]string) error {
	var page server.Page[server.HistoryItem]
	if printed, err := h.getOrPrintJSON("/v1/history", h.query(), &page); printed || err != nil {
		return err
	}
	t := newTable("OFFSET", "STATUS", "BY", "AT", "SUBJECT", "REASON", "DETAIL", "ID")
	for _, c := range page.Items {
		t.row(fmt.Sprint(c.Offset), c.Status, c.By, c.At, c.Subject, orDash(c.Reason), orDash(c.Detail), c.ID)
	}
	t.flush()
	h.printNextHint(page.Next)
	return nil
}
