//go:build review2

package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { scenarios["foreign"] = foreign }

const (
	foreignClients = 4                       // at each instance
	foreignPause   = 60 * time.Millisecond   // mean
	foreignAt      = 2200 * time.Millisecond // after the server's report that it is draining, at the earliest
	foreignExit    = 900 * time.Millisecond  // after that entry, the server exits
	foreignDrain   = 2 * time.Second         // drain_ms
	foreignCalm    = 4 * time.Second
)

// foreign has one server of five drain and exit, as planned. Meanwhile another writer leaves
// an entry under its key in which some fields are missing.
func foreign(s *system, trouble bool) (broken bool, err error) {
	plain := s.servers("ordre-app", "", 5, &server{slots: 6, work: 60 * time.Millisecond})
	s.put("op", "config", config(3,
		[]map[string]any{route("order-confirm", "/confirm/", "unsafe", "ordre-app", 1, 4000, 300)},
		[]map[string]any{plainService("ordre-app")},
		[]map[string]any{tenant("museum", "key-museum", 1000000, 1000000)}))
	if err := s.startInstances("127.61.7", []string{"ribe", "ribe", "aalborg", "aalborg", "hirtshals", "vejle"}); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(foreignCalm) // stable_ms and more
	var mu sync.Mutex
	byStatus := map[int]int{}
	lost := 0
	leaving := plain[0]
	var wg sync.WaitGroup
	ends := time.Now().Add(foreignCalm + foreignAt + heartbeat + foreignExit + foreignCalm)
	for _, in := range s.instances {
		for range foreignClients {
			wg.Go(func() {
				for time.Now().Before(ends) {
					a := s.once(in, &request{id: newID(), method: http.MethodPost, target: "/confirm/cast", key: "key-museum", deadline: 4 * time.Second, body: "one resin cast"})
					o, run := executionOf(plain, a.id)
					s.record("order %s at %s: status %d, error %v", a.id, in.name, a.status, a.err)
					mu.Lock()
					byStatus[a.status]++
					if o == leaving && run != nil && (a.err != nil || a.status != http.StatusOK) {
						lost++
					}
					mu.Unlock()
					time.Sleep(rand.N(2 * foreignPause))
				}
			})
		}
	}
	time.Sleep(foreignCalm)
	leaving.drain()
	acked := time.Now()
	s.say("%s reports that it is draining", leaving.id)
	time.Sleep(time.Until(acked.Add(foreignAt)))
	leaving.awaitHeartbeat()
	if trouble {
		entry := map[string]any{"service": leaving.service, "address": leaving.addr, "zone": leaving.zone, "slots": leaving.slots, "state": "ready"}
		if os.Getenv("BORN") == "1" {
			entry["born"] = leaving.born
		}
		s.put("servers", leaving.id, entry)
		s.say("another writer leaves an entry with fields missing: %v", entry)
	}
	time.Sleep(foreignExit)
	leaving.exit()
	s.say("%s exits", leaving.id)
	wg.Wait()
	late := 0
	leaving.mu.Lock()
	for id, run := range leaving.ran {
		if after := run.at.Sub(acked); after > foreignDrain {
			late++
			s.record("order %s reached %s %d ms after it was acknowledged that it is draining", id, leaving.id, after.Milliseconds())
		}
	}
	leaving.mu.Unlock()
	s.say("orders by status %v; orders that reached %s later than %v after the ack: %d; orders that it ran and that were not answered with success: %d", byStatus, leaving.id, foreignDrain, late, lost)
	return late > 0, nil
}

// drain makes the server report that it is draining, now and from then on.
func (o *server) drain() {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	o.register(1000)
}

// awaitHeartbeat waits until the server has just written its entry.
func (o *server) awaitHeartbeat() {
	o.mu.Lock()
	beats := o.beats
	o.mu.Unlock()
	for {
		time.Sleep(10 * time.Millisecond)
		o.mu.Lock()
		changed := o.beats != beats
		o.mu.Unlock()
		if changed {
			return
		}
	}
}

// exit ends the process, and its entry is removed as by a server that has left.
func (o *server) exit() {
	o.mu.Lock()
	o.down = true
	o.mu.Unlock()
	o.stop()
	o.s.store.Delete("servers", o.identity())
}
