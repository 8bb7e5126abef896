//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["split"] = split }

const (
	splitEvents   = 40
	splitGap      = 100 * time.Millisecond
	splitTimeout  = 8 * time.Second
	splitStreams  = 40 // at each instance when one is killed
	splitStagger  = 25 * time.Millisecond
	splitKillAt   = 1800 * time.Millisecond // after the first stream
	splitNewUntil = 3 * time.Second         // after the kill: new streams begin for comparison
)

// split kills one machine of six while a route is split between two services, each with one
// version of its software, and clients take up the streams that broke. The route is one to
// a single service with SPLIT=0, for comparison.
func split(s *system, trouble bool) (broken bool, err error) {
	servers := append(s.servers("desk-a", "m0", 3, &server{slots: 64, events: splitEvents, gap: splitGap}),
		s.servers("desk-b", "m0", 3, &server{slots: 64, events: splitEvents, gap: splitGap})...)
	ask := route("mould-status", "/ask/", "stream", "", 2, 8000, 400)
	ask["sticky"], ask["resumable"], ask["gap_target_ms"] = true, true, 400
	delete(ask, "service")
	ask["traffic_split"] = []map[string]any{{"service": "desk-a", "weight": 50}, {"service": "desk-b", "weight": 50}}
	if os.Getenv("SPLIT") == "0" {
		delete(ask, "traffic_split")
		ask["service"] = "desk-a"
		s.record("the route leads to one service")
	}
	s.put("op", "config", config(3, []map[string]any{ask},
		[]map[string]any{modelService("desk-a", "m0"), modelService("desk-b", "m0")},
		[]map[string]any{tenant("dealer", "key-dealer", 1000000, 1000000)}))
	if err := s.startInstances("127.61.2", []string{"ribe", "ribe", "aalborg", "aalborg", "hirtshals", "vejle"}); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_ms and more
	began := time.Now()
	victim, others := s.instances[0], s.instances[1:]
	result := &streamTally{}
	var wg sync.WaitGroup
	for n := range splitStreams {
		for i, in := range s.instances {
			wg.Go(func() { s.streamClient(in, others[(n+i)%len(others)], result) })
		}
		time.Sleep(splitStagger)
	}
	time.Sleep(time.Until(began.Add(splitKillAt)))
	if trouble {
		victim.signal(syscall.SIGKILL)
		<-victim.ended
		s.say("%s is killed", victim.name)
	}
	killed := time.Now()
	for n := 0; time.Since(killed) < splitNewUntil; n++ {
		wg.Go(func() { s.streamClient(others[n%len(others)], others[(n+1)%len(others)], result) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	for _, o := range servers {
		s.record("%s ran %d requests", o.id, len(o.ran))
	}
	s.say("new streams: %d, of which %d began; streams taken up: %d, of which %d went on", result.begun+result.notBegun, result.begun, result.taken, result.wentOn)
	if result.taken < 12 {
		return false, nil
	}
	newShare := float64(result.begun) / float64(result.begun+result.notBegun)
	return float64(result.wentOn)/float64(result.taken) < newShare/2, nil
}

// streamTally counts streams.
type streamTally struct {
	mu                             sync.Mutex
	begun, notBegun, taken, wentOn int
}

func (t *streamTally) add(counter *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*counter++
}

// streamClient asks for a stream at one instance. If the connection breaks, it takes the
// stream up at another, once, and once more if that is answered 429 or 503 with a
// Retry-After.
func (s *system) streamClient(first, second *instance, t *streamTally) {
	deadline := time.Now().Add(splitTimeout)
	id := newID()
	last := 0
	a := s.streamAttempt(first, id, "", 0, deadline, &last)
	if last == 0 {
		if a.err == nil { // a kill before the first event is no refusal
			t.add(&t.notBegun)
		}
		return
	}
	t.add(&t.begun)
	if a.err == nil {
		return
	}
	t.add(&t.taken)
	before := last
	for try := range 2 {
		a = s.streamAttempt(second, newID(), id, last, deadline, &last)
		if last > before {
			t.add(&t.wentOn)
			return
		}
		left := time.Until(deadline)
		if try > 0 || (a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests) || a.retryAfter > left/3 {
			return
		}
		time.Sleep(a.retryAfter)
	}
}

func (s *system) streamAttempt(in *instance, id, resumes string, after int, deadline time.Time, last *int) answer {
	c, err := dial(in.front)
	if err != nil {
		s.record("stream %s at %s: no connection: %v", id, in.name, err)
		return answer{err: err}
	}
	defer c.close()
	q := &request{id: id, method: http.MethodPost, target: "/ask/status", key: "key-dealer", deadline: time.Until(deadline), body: "is the mould free?", header: map[string]string{
		"Model-Name": "m0", "Token-Count": "383,40", "Prompt-Prefix": fmt.Sprintf("aa01:55,%s:328", id),
	}}
	if resumes != "" {
		q.header["Resumes"], q.header["Last-Event-Id"] = resumes, strconv.Itoa(after)
	}
	a := c.do(q, func(n int) { *last = n })
	s.record("stream %s at %s, resumes %q after %d: status %d, retry after %v, %d events up to %d, error %v", id, in.name, resumes, after, a.status, a.retryAfter, len(a.events), *last, a.err)
	return a
}
