// Command standin plays the cases of the review: it starts processes of the system with the
// commands of the deploy file, beside stand-ins for the store, the servers and the requesters.
//
// Usage: standin CASE ROOT RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment, it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one case. It returns how often the rule was broken.
type play func(f *fleet, trouble bool) (broken int, err error)

var plays = map[string]play{
	"route-prefix":  playRoutePrefix,
	"address-reuse": playAddressReuse,
	"truncated":     playTruncated,
}

func main() {
	os.Exit(playCase(os.Args[1:]))
}

func playCase(args []string) int {
	if len(args) != 3 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin route-prefix|address-reuse|truncated ROOT RECORD")
		return exitFailed
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(args[1], rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitFailed
	}
	defer f.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		f.close()
		os.Exit(exitFailed)
	}()
	broken, err := plays[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case broken > 0:
		rec.say("the rule was broken: %d requests", broken)
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
