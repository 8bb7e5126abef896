//go:build review2

// Command harness-2 plays the cases of the second review: it starts edge instances with the
// command of the deploy file, as processes of their own, against stand-ins of the store, the
// servers and the clients on loopback addresses, and checks one rule from what the clients
// and the servers saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// errCouldNotRun marks errors of the case itself.
var errCouldNotRun = errors.New("the case could not run")

// scenario plays a case. It reports whether the rule was broken. trouble is false for the
// same run without the disruption.
type scenario func(s *system, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

// maxRun ends a run that hangs before the limit of 120 seconds.
const maxRun = 112 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD; FESCUESTEP names the program, TROUBLE=0 leaves the disruption out")
		os.Exit(couldntRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) int {
	play := scenarios[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return couldntRun
	}
	s, err := newSystem(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer s.close()
	time.AfterFunc(maxRun, func() {
		s.record("the run takes too long")
		s.close()
		os.Exit(couldntRun)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		s.record("the run is stopped: %v", <-stop)
		s.close()
		os.Exit(couldntRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.record("case %s, disruption: %v", name, trouble)
	broken, err := play(s, trouble)
	switch {
	case err != nil:
		s.say("the case could not run: %v", err)
		return couldntRun
	case broken:
		s.record("RESULT: the rule was broken")
		return ruleBroken
	}
	s.record("RESULT: the rule held")
	return ruleHeld
}
