package commands

import (
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

func init() {
	Register("publish", "publish a document",
		"Publishes a TOML document of defaults, an exception, a team or a token.", &publish{})
}

type publish struct {
	APIOptions
	ChangeOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"document, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (p *publish) Execute([]string) error {
	return p.document(p.ChangeOptions, p.Args.File)
}

func (a *APIOptions) document(c ChangeOptions, file string) error {
	body, err := readFile(file)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	// The same check as the daemon's, so that the file's name is in the error.
	d, err := policy.Parse(file, body)
	if err != nil {
		return err
	}
	switch d.Kind {
	case policy.DocumentDefaults:
		return a.change(c, http.MethodPut, "/v1/defaults", body)
	case policy.DocumentException:
		return a.change(c, http.MethodPost, "/v1/exceptions", body)
	case policy.DocumentTeam:
		return a.change(c, http.MethodPost, "/v1/teams", body)
	case policy.DocumentToken:
		return a.change(c, http.MethodPost, "/v1/tokens", body)
	default:
		return &ExitError{Code: ExitUsage, Err: errors.Errorf("a %s is published with: except withdraw", d.Kind)}
	}
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(os.Stdin)
		return b, errors.Wrap(err, "read standard input")
	}
	b, err := os.ReadFile(name)
	return b, errors.Wrap(err, "read document")
}
