// Command catkinrun-standin runs stand-ins for what the product works with.
package main

import (
	"os"

	"github.com/catkinrun/catkinrun/standin/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
