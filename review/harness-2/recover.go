//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["recover"] = recovers }

const (
	recoverBatches = 8
	recoverBatch   = 8
	recoverRate    = 14000 // tokens a second
	recoverMargin  = 1.8   // of the cap over what the tenant sends, as on the sheet
	recoverTokens  = 200
	recoverAfter   = 12 * time.Second // recovery_s
	recoverWatch   = 20 * time.Second
	recoverBefore  = 8 * time.Second
)

// recovers replaces machines by others at new addresses many times, then ends all processes
// at once and starts them again. Without the disruption no machine is replaced.
func recovers(s *system, trouble bool) (broken bool, err error) {
	s.servers("ordre-app", "", 4, &server{slots: 24, work: 15 * time.Millisecond})
	s.put("op", "config", config(3,
		[]map[string]any{route("order-read", "/orders/", "safe", "ordre-app", 2, 1000, 100)},
		[]map[string]any{plainService("ordre-app")},
		[]map[string]any{tenant("museum", "key-museum", recoverRate, recoverRate)}))
	if err := s.startInstances("127.61.6", []string{"ribe", "ribe", "aalborg", "aalborg", "hirtshals", "vejle"}); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	fronts := s.instances
	time.Sleep(4 * time.Second) // stable_ms and more
	before := s.reads(fronts, recoverBefore)
	if trouble {
		for n := range recoverBatches {
			if err := s.replaceMachines(n); err != nil {
				return false, err
			}
		}
		s.say("%d machines were added and removed for good", recoverBatches*recoverBatch)
	}
	for _, in := range fronts {
		in.signal(syscall.SIGKILL)
	}
	var again []*instance
	for _, in := range fronts {
		<-in.ended
		next := &instance{name: in.name, ip: in.ip, front: in.front, ready: in.ready}
		if err := s.startInstance(next, in.text); err != nil {
			return false, err
		}
		again = append(again, next)
	}
	s.say("all processes were killed and started again")
	if err := awaitReady(again, 10*time.Second); err != nil {
		return false, err
	}
	s.record("the machines are back")
	s.reads(again, recoverAfter)
	after := s.reads(again, recoverWatch)
	s.say("served before: %d of %d; later than %v after the return: %d of %d, %d answered 429", before.served, before.sent, recoverAfter, after.served, after.sent, after.limited)
	return before.served*4 >= before.sent && after.served*4 < after.sent, nil
}

// replaceMachines starts some machines and kills them when they are listed and ready.
func (s *system) replaceMachines(batch int) error {
	var added []*instance
	for n := range recoverBatch {
		k := batch*recoverBatch + n + 10
		in, err := s.addInstance(fmt.Sprintf("127.61.6.%d", k), "vejle", fmt.Sprintf("front-vejle-%d", k))
		if err != nil {
			return err
		}
		added = append(added, in)
	}
	if err := awaitReady(added, 10*time.Second); err != nil {
		return err
	}
	for _, in := range added {
		in.signal(syscall.SIGKILL)
		<-in.ended
	}
	return nil
}

type readTally struct{ sent, served, limited int }

// reads sends what the tenant usually does for some time.
func (s *system) reads(fronts []*instance, d time.Duration) readTally {
	var out readTally
	var mu sync.Mutex
	var wg sync.WaitGroup
	ends := time.Now().Add(d)
	perSecond := float64(recoverRate) / recoverMargin / recoverTokens
	pause := time.Duration(float64(len(fronts)) / perSecond * float64(time.Second))
	for _, in := range fronts {
		wg.Go(func() {
			tick := time.NewTicker(pause)
			defer tick.Stop()
			for time.Now().Before(ends) {
				<-tick.C
				wg.Go(func() {
					a := s.once(in, &request{id: newID(), method: http.MethodGet, target: "/orders/history", key: "key-museum", deadline: time.Second})
					s.record("request %s at %s: status %d, retry after %v, error %v", a.id, in.name, a.status, a.retryAfter, a.err)
					mu.Lock()
					defer mu.Unlock()
					out.sent++
					if a.status == http.StatusOK && a.err == nil {
						out.served++
					}
					if a.status == http.StatusTooManyRequests {
						out.limited++
					}
				})
			}
		})
	}
	wg.Wait()
	return out
}
