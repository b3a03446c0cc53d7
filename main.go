// Command cranberrytack is a load balancer that runs beside each upstream.
package main

import (
	"os"

	"gitlab.com/cranberrytack/cranberrytack/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}
