//go:build review3

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	freezeTime  = 4 * time.Second         // node_freeze on the small sites
	releaseTime = time.Second             // from the freeze to the first server of the next version
	clientGap   = 3200 * time.Millisecond // eight times the pause of 400 ms: the client abandons the stream
)

// frozen has one machine freeze while clients receive streams there, and the first server of
// the next software version start meanwhile. The clients abandon the silent streams and take
// them up at the other machines.
func frozen(w *world, trouble bool) int {
	w.configure(streamConfig())
	w.streamEngine("i-1", "v1")
	w.streamEngine("i-2", "v1")
	w.streamEngine("i-3", "v1")
	w.startMachines("front-ribe-1", "front-ribe-2", "front-aalborg-1", "front-aalborg-2", "front-hirtshals-1", "front-vejle-1")
	time.Sleep(4 * time.Second)
	from, others := w.machines[0], w.machines[1:]

	firsts := make([]try, streams)
	var begun, ended sync.WaitGroup
	abandon := make(chan struct{})
	for i := range firsts {
		begun.Add(1)
		ended.Go(func() {
			firsts[i] = from.streamUntil(streamPath, fmt.Sprintf("stream-%d", i), eventsBefore, &begun, abandon)
		})
	}
	begun.Wait()
	w.record("%s has begun %d streams", from.name, streams)
	froze := time.Now()
	if trouble {
		must(from.cmd.Process.Signal(syscall.SIGSTOP))
		w.record("%s freezes", from.name)
	}
	time.Sleep(releaseTime)
	w.streamEngine("i-4", "v2")
	time.Sleep(time.Until(froze.Add(clientGap)))
	close(abandon)
	ended.Wait()

	var wg sync.WaitGroup
	var taken, goesOn, fresh, began atomic.Int64
	for i, first := range firsts {
		w.record("%s: %s answered %d, events %d to %d; the client abandons it", first.id, from.name, first.status, first.first, first.last)
		to, next := others[i%len(others)], others[(i+1)%len(others)]
		wg.Go(func() {
			taken.Add(1)
			if w.takeUpStream(first, to, next) {
				goesOn.Add(1)
			}
		})
		wg.Go(func() {
			t := to.stream(streamPath, fmt.Sprintf("new-%d", i), nil, 1)
			w.record("%s: %s answered %d, first event %d", t.id, to.name, t.status, t.first)
			fresh.Add(1)
			if t.first == 1 {
				began.Add(1)
			}
		})
	}
	time.Sleep(time.Until(froze.Add(freezeTime)))
	if trouble {
		must(from.cmd.Process.Signal(syscall.SIGCONT))
		w.record("%s goes on", from.name)
	}
	wg.Wait()
	return w.judgeTakeUps(int(taken.Load()), int(goesOn.Load()), int(fresh.Load()), int(began.Load()))
}
