// Command review-2 runs the cases of the second review: each starts a small deployment on loopback addresses, disrupts
// it, and checks one rule by what clients, servers and the platform see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// result is the result of a case.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(r *record, trouble bool) result{
	"deadly":   deadly,
	"innocent": innocent,
	"switch":   switchProtocols,
	"watchers": watchers,
}

func main() {
	folder := flag.String("out", ".", "folder of record.txt")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fail(2, "no such case: "+flag.Arg(0))
	}
	time.AfterFunc(maxTime, func() { fail(2, "the case took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord()
	res := run(r, trouble)
	verdict, status := "held", 0
	if res.broken {
		verdict, status = "broken", 1
	}
	line := fmt.Sprintf("trouble %t: the rule %s: %s", trouble, verdict, res.text)
	r.add("result", line)
	r.write(filepath.Join(*folder, "record.txt"))
	fmt.Println(line)
	os.Exit(status)
}
