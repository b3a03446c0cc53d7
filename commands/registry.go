// Package commands holds the subcommands of the program. Each registers itself.
package commands

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes for scripts.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitNotKnown = 3
)

// Version is the program's version.
const Version = "0.1.0"

type entry struct {
	name, short, long string
	command           any
}

var registry []entry

// Register adds a subcommand. It is called from init functions.
func Register(name, short, long string, command any) {
	registry = append(registry, entry{name: name, short: short, long: long, command: command})
}

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	return e.err.Error()
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(args []string) int {
	p := flags.NewNamedParser("cranberrytack", flags.HelpFlag|flags.PassDoubleDash)
	for _, e := range registry {
		if _, err := p.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			fmt.Fprintln(os.Stderr, "cranberrytack:", err)
			return ExitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var fe *flags.Error
	var ee *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
		return ExitOK
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, "cranberrytack:", err)
		return ExitUsage
	case errors.As(err, &ee):
		fmt.Fprintln(os.Stderr, "cranberrytack:", err)
		return ee.code
	default:
		fmt.Fprintln(os.Stderr, "cranberrytack:", err)
		return ExitFailed
	}
}
