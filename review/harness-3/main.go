//go:build review3

// Command harness-3 plays the scripted cases of the third review. Each case starts edge
// instances as separate processes, with the command of the deploy file, against stand-ins
// of the store, the servers and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	argsCount = 3
)

// cases are the scripted cases by name.
var cases = map[string]func(w *world, trouble bool) (verdict int){
	"joined": joined,
	"crowd":  crowd,
	"takeup": takeUp,
	"fill":   fill,
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
	defer w.close()
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
