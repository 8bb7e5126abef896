//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	drainTime  = 2 * time.Second // drain_ms
	stableTime = 3 * time.Second // stable_ms
	// cutTime is how long the link is cut, and longestPause how long it may take on top until
	// the instance has called once more: 5.5 s in all at most.
	cutTime, longestPause = 4 * time.Second, 1400 * time.Millisecond
	// littleLonger is how long after drain_ms the server exits.
	littleLonger = 170 * time.Millisecond
)

// departure plays: the link of one instance to the store is cut and heals. Shortly after it
// has heard the store again, the entry of a server is removed, as by one that leaves without
// reporting that it drains. The server serves for drain_ms and a little longer and exits.
func departure(w *world) (broken bool, err error) {
	var servers []*plainServer
	for n := range 2 {
		s, err := w.addPlain(fmt.Sprintf("i-plain-%d", n+1), 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	config := baseConfig()
	config.Services = append(config.Services, routing.Service{Name: plainService, HealthPath: "/health", ConnLimit: 96})
	config.Routes = append(config.Routes, routing.Route{
		Name: "post", Host: host, Prefix: "/post/", Kind: routing.Unsafe, Split: []routing.WeightedService{{Service: plainService, Weight: 1}},
		Timeout: time.Second, TargetLatency: 150 * time.Millisecond, MaxAttempts: 1,
	})
	if err := w.putConfig(config); err != nil {
		return false, err
	}
	if err := w.startInstances("a-1", "b-1", "c-1"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	machine := w.instances[0]
	if w.trouble {
		w.note("the link of %s to the store is cut", machine.name)
		machine.link.setCut(true)
		time.Sleep(cutTime)
		// The link heals just after a call of the instance was refused.
		if calls := len(machine.link.refused()); !eventually(longestPause, func() bool { return len(machine.link.refused()) >= calls+2 }) {
			return false, fmt.Errorf("the instance does not call the store")
		}
		time.Sleep(20 * time.Millisecond)
		machine.link.setCut(false)
	}
	healed := time.Now()
	w.note("the link of %s to the store is whole", machine.name)
	if !eventually(5*time.Second, func() bool { return machine.link.open() }) {
		return false, fmt.Errorf("the instance does not call the store")
	}
	time.Sleep(150 * time.Millisecond)
	leaving := servers[0]
	left := leaving.leave()
	time.Sleep(time.Until(left.Add(drainTime - 200*time.Millisecond)))

	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, answered := map[string]time.Time{}, map[string]string{}
	end := left.Add(3 * time.Second)
	for caller := range 4 {
		wg.Go(func() {
			client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("order-%d-%d", caller, n)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				answer := machine.order(&client, id)
				w.note("client: %s to %s: %s", id, machine.name, answer)
				mu.Lock()
				answered[id] = answer
				mu.Unlock()
			}
			client.CloseIdleConnections()
		})
	}
	time.Sleep(time.Until(left.Add(drainTime + littleLonger)))
	leaving.exit()
	wg.Wait()

	late := 0
	for _, a := range leaving.arrived() {
		inTouch := sent[a.id].After(healed.Add(stableTime))
		if after := a.at.Sub(left); after > drainTime && inTouch {
			late++
			if late <= 5 {
				w.note("BROKEN DRAIN: %s reached %s %d ms after its entry was removed, %d ms after the link had healed; the caller got: %s", a.id, leaving.id, after.Milliseconds(), a.at.Sub(healed).Milliseconds(), answered[a.id])
			}
		}
	}
	lost := 0
	for id, answer := range answered {
		if answer != "200" {
			lost++
			w.note("client: %s, sent %d ms after the removal, got %s", id, sent[id].Sub(left).Milliseconds(), answer)
		}
	}
	w.note("%d of %d orders were sent to %s too late; %d orders were not answered with 200", late, len(sent), leaving.id, lost)
	if len(servers[1].arrived()) == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late > 0, nil
}

// order sends an order and returns the status, or the error.
func (i *instance) order(client *http.Client, id string) string {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/post/1", i.ip, portFront), strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "1000", "Authorization": "Bearer key-of-the-school"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode)
}
