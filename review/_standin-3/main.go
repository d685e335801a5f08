// Command review-3 runs one case of the review: it starts the store's stand-in and the daemons as separate
// processes, plays servers, callers and the operator, and checks one rule. It exits with 0 if the rule held, 1 if
// it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/standin/platform"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs, below the 120 s that one may take.
const caseTimeout = 110 * time.Second

// scenario plays one case and reports whether the rule held. It fails if the case could not run.
type scenario func(f *fleet, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == platformCommand {
		fmt.Fprintln(os.Stderr, servePlatform(os.Args[2]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		names := make([]string, 0, len(scenarios))
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "unknown case; known are", names)
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// platformCommand runs the project's stand-in for the store, in a process of its own.
const platformCommand = "platform"

// servePlatform serves the store at an address until the process ends.
func servePlatform(address string) error {
	return http.ListenAndServe(address, platform.New(clock.System{}, platform.Limits{}).Handler())
}

func run(play scenario, folder string, trouble bool) int {
	record, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.note("could not run: %v", err)
		return exitNotRun
	}
	defer f.end()
	result := make(chan int, 1)
	go func() {
		held, err := play(f, trouble)
		switch {
		case err != nil:
			record.note("could not run: %v", err)
			result <- exitNotRun
		case !held:
			record.note("RULE BROKEN")
			result <- exitBroken
		default:
			record.note("rule held")
			result <- exitHeld
		}
	}()
	select {
	case code := <-result:
		return code
	case <-time.After(caseTimeout):
		record.note("could not run: the case took longer than %v", caseTimeout)
		return exitNotRun
	}
}
