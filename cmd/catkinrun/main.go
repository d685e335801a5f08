// Command catkinrun runs a daemon or an operator's command.
package main

import (
	"os"

	"github.com/catkinrun/catkinrun/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
