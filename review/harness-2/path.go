//go:build review2

package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["path"] = path }

const (
	pathRun     = 8 * time.Second
	pathClients = 4 // at each instance
	pathPause   = 40 * time.Millisecond
	pathEvery   = 8 // each so manieth request is a search with a long query
)

// path sends order reads, some of which are searches with a query of some 500 bytes. All
// are well inside max_header_bytes. Without the disruption the queries are shorter.
func path(s *system, trouble bool) (broken bool, err error) {
	plain := s.servers("ordre-app", "", 4, &server{slots: 6, work: 15 * time.Millisecond})
	s.put("op", "config", config(3,
		[]map[string]any{route("order-read", "/orders/", "safe", "ordre-app", 2, 1000, 100), route("order-confirm", "/confirm/", "unsafe", "ordre-app", 1, 1000, 100)},
		[]map[string]any{plainService("ordre-app")},
		[]map[string]any{tenant("museum", "key-museum", 1000000, 1000000)}))
	if err := s.startInstances("127.61.3", []string{"ribe", "ribe", "aalborg", "aalborg", "hirtshals", "vejle"}); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_ms and more
	longest := 480
	if trouble {
		longest = 507
	}
	ends := time.Now().Add(pathRun)
	var mu sync.Mutex
	sent, denied := 0, 0
	byStatus := map[int]int{}
	var wg sync.WaitGroup
	for i, in := range s.instances {
		for n := range pathClients {
			wg.Go(func() {
				for k := 0; time.Now().Before(ends); k++ {
					target := "/orders/history?id=" + newID()
					method, body := http.MethodGet, ""
					if k%2 == 1 {
						target, method, body = "/confirm/cast?id="+newID(), http.MethodPost, "one resin cast"
					}
					if (k+n+i)%pathEvery == 0 {
						target += "&title="
						target += strings.Repeat("a", longest-(k/pathEvery)%8-len(target))
					}
					a := s.once(in, &request{id: newID(), method: method, target: target, key: "key-museum", deadline: time.Second, body: body})
					_, run := executionOf(plain, a.id)
					s.record("%s %s, %d bytes of target, at %s: status %d, seal %q, run %v, error %v", method, a.id, len(target), in.name, a.status, a.seal, run != nil, a.err)
					mu.Lock()
					sent++
					byStatus[a.status]++
					if a.status >= 300 && a.status < 500 && a.seal == "" && !promises(a.status) {
						denied++
					}
					mu.Unlock()
					time.Sleep(pathPause)
				}
			})
		}
	}
	wg.Wait()
	s.say("%d proper requests, by status %v; ended with a 3xx or 4xx of the system's own: %d; allowed: 5 + one in 500 = %d", sent, byStatus, denied, 5+sent/500)
	return denied > 5+sent/500, nil
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// attempted is an answer with the ID of its attempt.
type attempted struct {
	answer
	id string
}

// once sends a request on a connection of its own.
func (s *system) once(in *instance, q *request) attempted {
	c, err := dial(in.front)
	if err != nil {
		return attempted{answer{err: err}, q.id}
	}
	defer c.close()
	return attempted{c.do(q, nil), q.id}
}
