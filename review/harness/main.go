//go:build review

// Command harness plays the cases of the review: it starts instances of the edge as
// separate processes on loopback addresses, with stand-ins of the store, the servers and
// the clients in its own process, and judges what clients, servers and the store saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases lists the cases by name.
var cases = map[string]func(*world) (broken bool, err error){
	"handover":  handover,
	"departure": departure,
	"smuggle":   smuggle,
	"wall":      wall,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// mostTime is how long a case may take.
const mostTime = 105 * time.Second

// outcome is the result of a case.
type outcome struct {
	broken bool
	err    error
}

func play(name, folder string) int {
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](w)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			w.note("could not run: %v", o.err)
			return exitNotRun
		case o.broken:
			w.note("result: the rule was broken")
			return exitBroken
		}
		w.note("result: the rule held")
		return exitHeld
	case <-stop:
		w.note("could not run: stopped by a signal")
	case <-time.After(mostTime):
		w.note("could not run: not through in time")
	}
	return exitNotRun
}
