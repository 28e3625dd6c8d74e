// Command standin-2 plays the cases of the second review: it starts a small fleet of the project's own processes on
// loopback addresses, with stand-ins for the platform's store, the servers and the clients, and checks one rule.
//
//	standin-2 CASE ROOT RECORD
//
// ROOT is the repository, RECORD the file for what was sent, answered and run. With TROUBLE=0 it leaves the disruption out.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit bounds a case; the reviewers allow 120 s.
const limit = 110 * time.Second

// play plays a case and returns how the rule was broken, or "".
type play func(f *fleet, trouble bool) (broken string, err error)

var cases = map[string]play{
	"slashes":      slashes,
	"uploads":      uploads,
	"stop-readers": stopReaders,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func runCase(play play, root, path string, trouble bool) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	record.add("disruption: %t", trouble)
	f, err := newFleet(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	late := time.AfterFunc(limit, func() {
		record.add("the case took too long")
		f.close()
		os.Exit(exitFailed)
	})
	defer late.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		record.add("the case was told to end: %s", <-signals)
		f.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		record.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
