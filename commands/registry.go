// Package commands holds the subcommands; each file registers its own.
package commands

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitOutcomeUnknown = 3
)

// Version is the version of the program.
const Version = "0.1.0"

type registration struct {
	name, short, long string
	command           any
}

var registered []registration

// Register adds a subcommand. Command is a struct of options with an Execute
// method, as go-flags wants it, or one whose fields are subcommands.
func Register(name, short, long string, command any) {
	registered = append(registered, registration{name, short, long, command})
}

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// stdout and stderr are replaced in tests.
var (
	stdout io.Writer = os.Stdout
	stderr io.Writer = os.Stderr
)

// Run runs the subcommand that args name and returns the exit code.
func Run(args []string) int {
	if len(args) == 1 && args[0] == "--version" {
		say("cranberrytack %s\n", Version)
		return ExitOK
	}
	p := flags.NewNamedParser("cranberrytack", flags.HelpFlag|flags.PassDoubleDash)
	sort.Slice(registered, func(i, j int) bool { return registered[i].name < registered[j].name })
	for _, r := range registered {
		if _, err := p.AddCommand(r.name, r.short, r.long, fresh(r.command)); err != nil {
			complain(errors.Wrap(err, "command "+r.name))
			return ExitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return exitCode(err)
}

// complain prints to standard error; a closed one can't be reported anywhere.
func complain(err error) {
	_, _ = fmt.Fprintln(stderr, err)
}

// fresh copies a command, so that options of one run do not stay for the next.
func fresh(command any) any {
	v := reflect.ValueOf(command)
	if v.Kind() != reflect.Pointer {
		return command
	}
	c := reflect.New(v.Type().Elem())
	c.Elem().Set(v.Elem())
	return c.Interface()
}

func exitCode(err error) int {
	var usage *flags.Error
	var exit *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		say("%s\n", usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		complain(usage)
		return ExitUsage
	case errors.As(err, &exit):
		complain(exit.Err)
		return exit.Code
	default:
		complain(err)
		return ExitFailed
	}
}
