//go:build review2

package main

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { scenarios["quota"] = quota }

const (
	quotaRun     = 12 * time.Second
	quotaClients = 4 // at each instance
	quotaRate    = 14000
	quotaBurst   = 14000
	quotaTokens  = 200 // plain_tokens
	quotaMargin  = 1.8 // of the cap over the tenant's usual rate, as on the sheet
	quotaTimes   = 7.5 // the usual rate
	quotaWindow  = 8 * time.Second
	quotaExcess  = 0.1
	quotaSlack   = 190000
)

// quota has one tenant of two send many times what its usage cap allows. The answers of the
// servers are 404 with their seal, as for orders that do not exist; without the disruption
// the servers answer 200.
func quota(s *system, trouble bool) (broken bool, err error) {
	status := http.StatusOK
	if trouble {
		status = http.StatusNotFound
	}
	plain := s.servers("ordre-app", "", 4, &server{slots: 24, work: 15 * time.Millisecond, status: status})
	s.put("op", "config", config(3,
		[]map[string]any{route("order-read", "/orders/", "safe", "ordre-app", 2, 1000, 100)},
		[]map[string]any{plainService("ordre-app")},
		[]map[string]any{tenant("museum", "key-museum", quotaRate, quotaBurst), tenant("school", "key-school", quotaRate, quotaBurst)}))
	if err := s.startInstances("127.61.4", []string{"ribe", "ribe", "aalborg", "aalborg", "hirtshals", "vejle"}); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_ms and more
	ends := time.Now().Add(quotaRun)
	perSecond := quotaTimes * quotaRate / quotaMargin / quotaTokens
	pause := time.Duration(float64(len(s.instances)*quotaClients) / perSecond * float64(time.Second))
	s.record("the tenant sends %.0f requests a second", perSecond)
	sentAt := map[string]time.Time{}
	byStatus := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, in := range s.instances {
		for range quotaClients {
			wg.Go(func() {
				tick := time.NewTicker(pause)
				defer tick.Stop()
				for time.Now().Before(ends) {
					<-tick.C
					id := newID()
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					a := s.once(in, &request{id: id, method: http.MethodGet, target: "/orders/unknown", key: "key-museum", deadline: time.Second})
					s.record("request %s at %s: status %d, seal %q, error %v", id, in.name, a.status, a.seal, a.err)
					mu.Lock()
					byStatus[a.status]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	// Counted are requests that are both sent and arrive at a server that runs them in the window.
	var runs []ranAt
	for id, sent := range sentAt {
		if _, run := executionOf(plain, id); run != nil && run.tenant == "museum" {
			runs = append(runs, ranAt{sent, run.at})
		}
	}
	most := mostTokens(runs)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaExcess) + quotaSlack
	s.say("%d requests, by status %v; %d run by servers; most tokens in %v: %d; allowed: %.0f", len(sentAt), byStatus, len(runs), quotaWindow, most, allowed)
	return float64(most) > allowed, nil
}

// ranAt is when a request was sent and when a server began to run it.
type ranAt struct{ sent, ran time.Time }

// mostTokens returns the most tokens of requests in a window.
func mostTokens(runs []ranAt) int {
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	most := 0
	for i, first := range runs {
		end, n := first.sent.Add(quotaWindow), 0
		for _, r := range runs[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.ran.After(end) {
				n++
			}
		}
		most = max(most, n*quotaTokens)
	}
	return most
}
