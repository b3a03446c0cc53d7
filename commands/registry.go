// Package commands implements the subcommands of the program. Each file
// registers the subcommands it contains.
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

// Exit codes of the program.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitOutcomeUnknown = 3
)

// Version is the version that --version prints.
const Version = "0.1.0"

type registration struct {
	name, short, long string
	command           any
}

var registrations []registration

// Register adds a subcommand. Command is a pointer to a go-flags struct: options
// with an Execute method, or fields that are subcommands.
func Register(name, short, long string, command any) {
	registrations = append(registrations, registration{name, short, long, command})
}

// ExitError is an error with the exit code that the program ends with.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error without its exit code.
func (e *ExitError) Unwrap() error { return e.Err }

// Output streams, replaced in tests.
var (
	stdout io.Writer = os.Stdout
	stderr io.Writer = os.Stderr
)

// Run runs the subcommand that args name and returns the exit code.
func Run(args []string) int {
	if len(args) == 1 && args[0] == "--version" {
		printOutput("cranberrytack %s\n", Version)
		return ExitOK
	}
	p := flags.NewNamedParser("cranberrytack", flags.HelpFlag|flags.PassDoubleDash)
	sort.Slice(registrations, func(i, j int) bool { return registrations[i].name < registrations[j].name })
	for _, r := range registrations {
		if _, err := p.AddCommand(r.name, r.short, r.long, copyCommand(r.command)); err != nil {
			printError(errors.Wrap(err, "register command "+r.name))
			return ExitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return exitCode(err)
}

// printError prints to standard error. It ignores write errors: with standard
// error closed there is nowhere to report them.
func printError(err error) {
	_, _ = fmt.Fprintln(stderr, err)
}

// copyCommand returns a copy of a command, so that the options of one Run do not
// persist into the next.
func copyCommand(command any) any {
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
		printOutput("%s\n", usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		printError(usage)
		return ExitUsage
	case errors.As(err, &exit):
		printError(exit.Err)
		return exit.Code
	default:
		printError(err)
		return ExitFailed
	}
}
