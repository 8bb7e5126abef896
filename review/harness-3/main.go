//go:build review3

// Command harness-3 plays the scripted cases of the third review. Each case starts edge
// instances as separate processes, with the command of the deploy file, against stand-ins
// of the store, the servers and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	argsCount = 3
)

// longest is the time after which a case ends as one that could not run.
const longest = 115 * time.Second

// cases are the scripted cases by name.
var cases = map[string]func(w *world, trouble bool) (verdict int){
	"joined": joined,
	"crowd":  crowd,
	"takeup": takeUp,
	"frozen": frozen,
}

func main() {
	if len(os.Args) != argsCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case and ends all that it has started.
func play(run func(*world, bool) int, folder string) (verdict int) {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	end := sync.OnceFunc(w.close)
	defer end()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		w.record("verdict: could not run, it was stopped")
		end()
		os.Exit(couldNot)
	}()
	defer func() {
		if p := recover(); p != nil {
			w.record("the case could not run: %v", p)
			verdict = couldNot
		}
		w.record("verdict: %s", map[int]string{held: "held", broken: "broken", couldNot: "could not run"}[verdict])
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("trouble: %v", trouble)
	return run(w, trouble)
}
