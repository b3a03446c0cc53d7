// Cranberrytack is a load balancer that runs as one daemon beside each
// upstream.
package main

import (
	"os"

	"gitlab.com/cranberrytack/cranberrytack/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}
