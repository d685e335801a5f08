// Command cases runs the cases of the review that are scripts. Each starts daemons as separate processes
// on loopback addresses, with stand-ins for the store, the servers and the clients in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	recordTo  *os.File
)

// record writes a line to the record, with the seconds since the start of the case.
func record(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordTo, "%8.3f "+format+"\n", append([]any{time.Since(startedAt).Seconds()}, values...)...)
}

// fail ends the case because it could not run.
func fail(format string, values ...any) {
	record("the case could not run: "+format, values...)
	fmt.Printf("the case could not run: "+format+"\n", values...)
	finish(failed)
}

func finish(status int) {
	stopAll()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", workDir)
	} else {
		_ = os.RemoveAll(workDir)
	}
	os.Exit(status)
}

// conclude ends the case with its verdict.
func conclude(violations int, rule string) {
	status, verdict := held, "held"
	if violations > 0 {
		status, verdict = broken, "broken"
	}
	record("%s %s: %d violations", rule, verdict, violations)
	fmt.Printf("%s %s: %d violations\n", rule, verdict, violations)
	finish(status)
}

func main() {
	cases := map[string]func(trouble bool){
		"foreign-heartbeat": foreignHeartbeat,
		"lost-watch":        lostWatch,
		"forgotten-leave":   forgottenLeave,
		"early-answer":      earlyAnswer,
		"extra-refusal":     extraRefusal,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases CASE RECORD")
		os.Exit(failed)
	}
	var err error
	if recordTo, err = os.Create(os.Args[2]); err == nil {
		workDir, err = os.MkdirTemp("", "review-")
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		finish(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %t", os.Args[1], trouble)
	cases[os.Args[1]](trouble)
}
