package commands

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
)

func init() {
	Register("except", "add, withdraw or list exceptions",
		"Adds, withdraws or lists the exceptions to the defaults.", &exceptCommand{})
}

type exceptCommand struct {
	Add      exceptAddCommand      `command:"add" description:"publish an exception"`
	Withdraw exceptWithdrawCommand `command:"withdraw" description:"withdraw an exception"`
	List     exceptListCommand     `command:"list" description:"list the exceptions"`
}

type exceptAddCommand struct {
	APIOptions
	ChangeOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"document, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *exceptAddCommand) Execute([]string) error { return e.publish(e.ChangeOptions, e.Args.File) }

type exceptWithdrawCommand struct {
	APIOptions
	ChangeOptions
	Reason string `long:"reason" required:"yes" description:"a sentence that says why"`
	Args   struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *exceptWithdrawCommand) Execute([]string) error {
	body, err := json.Marshal(server.WithdrawRequest{Reason: e.Reason})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return e.publishChange(e.ChangeOptions, http.MethodDelete, "/v1/exceptions/"+url.PathEscape(e.Args.ID), body)
}

// PageOptions holds the paging options of commands that print lists.
type PageOptions struct {
	Limit int    `long:"limit" default:"50" description:"items on a page, 1 to 500"`
	After string `long:"after" description:"last item of the page before"`
}

func (p PageOptions) query() url.Values {
	q := url.Values{"limit": {strconv.Itoa(p.Limit)}}
	if p.After != "" {
		q.Set("after", p.After)
	}
	return q
}

// printNextHint prints the option that selects the next page, if there is one.
func (p PageOptions) printNextHint(next string) {
	if next != "" {
		printOutput("more with --after %s\n", next)
	}
}

type exceptListCommand struct {
	APIOptions
	PageOptions
}

// Execute implements flags.Commander.
func (e *exceptListCommand) Execute([]string) error {
	var page server.Page[server.Exception]
	if printed, err := e.getOrPrintJSON("/v1/exceptions", e.query(), &page); printed || err != nil {
		return err
	}
	t := newTable("ID", "EFFECT", "SCOPE", "ACTIVE", "START", "END", "AUTHOR", "REASON")
	for _, x := range page.Items {
		t.row(x.ID, x.Effect, formatScope(x), strconv.FormatBool(x.Active), orDash(x.Start), orDash(x.End), x.Author, x.Reason)
	}
	t.flush()
	e.printNextHint(page.Next)
	return nil
}

func formatScope(x server.Exception) string {
	s := ""
	add := func(key, value string) {
		if value == "" {
			return
		}
		if s != "" {
			s += " "
		}
		s += key + "=" + value
	}
	add("service", x.Scope.Service)
	add("route", x.Scope.Route)
	add("centre", x.Scope.Centre)
	add("version", x.Scope.Version)
	return orDash(s)
}

// orDash returns s, or "-" for an empty table cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
