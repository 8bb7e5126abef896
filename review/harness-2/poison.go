//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["poison"] = poison }

const (
	poisonPart     = "dead01"
	poisonAt       = 36 // position of the part among the shared ones, from 1
	poisonShared   = 40 // parts that prompts share
	poisonRun      = 45 * time.Second
	poisonEvery    = 1800 * time.Millisecond // between two such requests, over all instances
	soundPerSecond = 3                       // at each instance
	poisonStable   = 3 * time.Second         // stable_ms
	poisonAway     = 3 * time.Second
)

// poison has one shared part of some prompts end each server that begins to answer. POSITION
// puts the part elsewhere, for comparison.
func poison(s *system, trouble bool) (broken bool, err error) {
	position := poisonAt
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = n
	}
	models := s.servers("lm-desk", "m0", 12, &server{slots: 64, events: 10, gap: 20 * time.Millisecond, poison: poisonPart, away: poisonAway})
	long := route("catalogue-match", "/match/", "stream", "lm-desk", 1, 8000, 600)
	long["sticky"] = true
	s.put("op", "config", config(3, []map[string]any{long}, []map[string]any{modelService("lm-desk", "m0")},
		[]map[string]any{tenant("museum", "key-museum", 1000000, 1000000)}))
	if err := s.startInstances("127.61.5", []string{"ribe", "ribe", "aalborg", "aalborg", "hirtshals", "vejle"}); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // stable_ms and more
	ends := time.Now().Add(poisonRun)
	var mu sync.Mutex
	sentAt := map[string]time.Time{} // of requests with the part
	sound, served := 0, 0
	var wg sync.WaitGroup
	for i, in := range s.instances {
		wg.Go(func() {
			for n := 0; time.Now().Before(ends); n++ {
				wg.Go(func() {
					a := s.prompt(in, "")
					mu.Lock()
					defer mu.Unlock()
					if sound++; a.err == nil && a.status == http.StatusOK {
						served++
					}
				})
				time.Sleep(time.Second / soundPerSecond)
			}
		})
		if !trouble {
			continue
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i) * poisonEvery)
			for time.Now().Before(ends) {
				wg.Go(func() {
					now := time.Now()
					a := s.promptAt(in, poisonPart, position)
					mu.Lock()
					defer mu.Unlock()
					sentAt[a.id] = now
				})
				time.Sleep(time.Duration(len(s.instances)) * poisonEvery)
			}
		})
	}
	wg.Wait()
	var crashes []time.Time
	for _, o := range models {
		o.mu.Lock()
		crashes = append(crashes, o.crashes...)
		o.mu.Unlock()
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	late := 0
	for id := range sentAt {
		if _, run := executionOf(models, id); run != nil && len(crashes) >= 5 && run.at.After(crashes[4].Add(poisonStable)) {
			late++
		}
	}
	s.say("sound prompts: %d, served: %d; prompts with the part: %d; crashes of servers: %d; prompts with the part that reached servers later than %v after the fifth crash: %d", sound, served, len(sentAt), len(crashes), poisonStable, late)
	return late > 3, nil
}

func (s *system) prompt(in *instance, part string) attempted { return s.promptAt(in, part, 0) }

// promptAt sends a prompt whose shared part at a position is replaced, if position is not 0.
func (s *system) promptAt(in *instance, part string, position int) attempted {
	id := newID()
	var parts []string
	for n := 1; n <= poisonShared; n++ {
		if n == position {
			parts = append(parts, part+":100")
			continue
		}
		parts = append(parts, fmt.Sprintf("%x:100", 0xb000+n))
	}
	parts = append(parts, id+":300")
	a := s.once(in, &request{id: id, method: http.MethodPost, target: "/match/casts", key: "key-museum", deadline: 8 * time.Second, body: "which series fits " + id + "?", header: map[string]string{
		"Model-Name": "m0", "Token-Count": "4300,20", "Prompt-Prefix": strings.Join(parts, ","),
	}})
	s.record("prompt %s at %s, part %q: status %d, retry after %v, %d events, error %v", id, in.name, part, a.status, a.retryAfter, len(a.events), a.err)
	return a
}
