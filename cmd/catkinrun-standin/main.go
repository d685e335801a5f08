// Command catkinrun-standin runs stand-ins for the platform's store, backend servers and
// callers.
package main

import (
	"os"

	"github.com/catkinrun/catkinrun/standin/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
