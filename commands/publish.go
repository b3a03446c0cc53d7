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
		"Publishes a TOML document of defaults, an exception, a team or a token.", &publishCommand{})
}

type publishCommand struct {
	APIOptions
	ChangeOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"document, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (p *publishCommand) Execute([]string) error {
	return p.publish(p.ChangeOptions, p.Args.File)
}

// publish publishes the TOML document in a file, or from standard input if the
// file is "-".
func (a *APIOptions) publish(c ChangeOptions, file string) error {
	body, err := readDocument(file)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	// The daemon makes the same check, but its error cannot name the file.
	d, err := policy.Parse(file, body)
	if err != nil {
		return err
	}
	switch d.Kind {
	case policy.DocumentDefaults:
		return a.publishChange(c, http.MethodPut, "/v1/defaults", body)
	case policy.DocumentException:
		return a.publishChange(c, http.MethodPost, "/v1/exceptions", body)
	case policy.DocumentTeam:
		return a.publishChange(c, http.MethodPost, "/v1/teams", body)
	case policy.DocumentToken:
		return a.publishChange(c, http.MethodPost, "/v1/tokens", body)
	default:
		return &ExitError{Code: ExitUsage, Err: errors.Errorf("a %s can't be published as a document, use: except withdraw", d.Kind)}
	}
}

func readDocument(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(os.Stdin)
		return b, errors.Wrap(err, "read standard input")
	}
	b, err := os.ReadFile(name)
	return b, errors.Wrap(err, "read document")
}
