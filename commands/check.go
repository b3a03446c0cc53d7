package commands

import (
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
)

func init() {
	Register("check", "Check a settings file", "Reads a settings file and reports every wrong setting, without starting anything.", &checkCommand{})
}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings file in TOML"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := config.Load(c.Args.File); err != nil {
		return err
	}
	fmt.Printf("%s: settings are valid\n", c.Args.File)
	return nil
}
