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
		"Adds, withdraws or lists the exceptions to the defaults.", &except{})
}

type except struct {
	Add      exceptAdd      `command:"add" description:"publish an exception"`
	Withdraw exceptWithdraw `command:"withdraw" description:"withdraw an exception"`
	List     exceptList     `command:"list" description:"list the exceptions"`
}

type exceptAdd struct {
	APIOptions
	ChangeOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"document, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (e *exceptAdd) Execute([]string) error { return e.document(e.ChangeOptions, e.Args.File) }

type exceptWithdraw struct {
	APIOptions
	ChangeOptions
	Reason string `long:"reason" required:"yes" description:"a sentence that says why"`
	Args   struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (e *exceptWithdraw) Execute([]string) error {
	body, err := json.Marshal(server.WithdrawRequest{Reason: e.Reason})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return e.change(e.ChangeOptions, http.MethodDelete, "/v1/exceptions/"+url.PathEscape(e.Args.ID), body)
}

// PageOptions holds the options of lists.
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

func (p PageOptions) more(next string) {
	if next != "" {
		say("more with --after %s\n", next)
	}
}

type exceptList struct {
	APIOptions
	PageOptions
}

// Execute runs the command.
func (e *exceptList) Execute([]string) error {
	var page server.Page[server.Exception]
	if printed, err := e.get("/v1/exceptions", e.query(), &page); printed || err != nil {
		return err
	}
	t := newTable("ID", "EFFECT", "SCOPE", "ACTIVE", "START", "END", "AUTHOR", "REASON")
	for _, x := range page.Items {
		t.row(x.ID, x.Effect, scope(x), strconv.FormatBool(x.Active), dash(x.Start), dash(x.End), x.Author, x.Reason)
	}
	t.flush()
	e.more(page.Next)
	return nil
}

func scope(x server.Exception) string {
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
	return dash(s)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
