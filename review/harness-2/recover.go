//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["recover"] = recovers }

const (
	recoverReplaced = 30
	recoverPause    = 500 * time.Millisecond // from the loss of a machine until the next one comes
	recoverRate     = 14000                  // tokens a second
	recoverUse      = 0.95                   // of the cap, that the tenant sends
	recoverTokens   = 200
	recoverAfter    = 12 * time.Second // recovery_s
	recoverWatch    = 20 * time.Second
	recoverBefore   = 8 * time.Second
)

// recovers replaces machines by others at new addresses, one after the other, then ends all
// processes at once and starts them again. Without the disruption no machine is replaced.
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
	fronts := slices.Clone(s.instances)
	time.Sleep(4 * time.Second) // stable_ms and more
	before := s.reads(fronts, recoverBefore)
	for n := 0; trouble && n < recoverReplaced; n++ {
		if err := s.replaceMachine(fronts, n); err != nil {
			return false, err
		}
	}
	s.say("machines replaced: %d", len(s.instances)-len(fronts))
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

// replaceMachine ends one of the machines for good and starts another in its zone, with
// another name and address.
func (s *system) replaceMachine(fronts []*instance, n int) error {
	i := n % len(fronts)
	lost := fronts[i]
	zone := strings.Split(lost.name, "-")[1]
	lost.signal(syscall.SIGKILL)
	<-lost.ended
	time.Sleep(recoverPause)
	next, err := s.addInstance(fmt.Sprintf("127.61.6.%d", n+10), zone, fmt.Sprintf("front-%s-%d", zone, n+10))
	if err != nil {
		return err
	}
	s.record("%s is lost for good, %s comes", lost.name, next.name)
	fronts[i] = next
	return awaitReady([]*instance{next}, 10*time.Second)
}

type readTally struct{ sent, served, limited int }

// reads sends what the tenant usually does for some time.
func (s *system) reads(fronts []*instance, d time.Duration) readTally {
	var out readTally
	var mu sync.Mutex
	var wg sync.WaitGroup
	ends := time.Now().Add(d)
	perSecond := float64(recoverRate) * recoverUse / recoverTokens
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
