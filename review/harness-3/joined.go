//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	storeDown   = 4500 * time.Millisecond // platform_down on the small sites
	crashAfter  = 300 * time.Millisecond  // after the store went down
	serverDown  = time.Second             // srv_crash on the small sites
	beginAfter  = 1500 * time.Millisecond // after the server is back
	joinedLimit = 2                       // streams that the rule lets pass
)

// joined has one server of four crash and come back under its ID with the next software
// version while the store is down. Clients begin streams at one machine, lose their
// connections and take the streams up at the others.
func joined(w *world, trouble bool) int {
	w.configure(streamConfig())
	var servers []*standin.Upstream
	for i := range 4 {
		servers = append(servers, w.streamEngine(fmt.Sprintf("i-%d", 1+i), "v1"))
	}
	w.startMachines("front-ribe-1", "front-ribe-2", "front-aalborg-1", "front-aalborg-2", "front-hirtshals-1", "front-vejle-1")
	time.Sleep(4 * time.Second)

	began := time.Now()
	if trouble {
		w.store.SetDown(true)
		w.record("the store is down")
	}
	time.Sleep(crashAfter)
	crashed := servers[0]
	crashed.Stop()
	w.record("server %s crashes", crashed.ID)
	time.Sleep(serverDown)
	again, err := standin.StartUpstream(w.store, crashed.Addr, standin.Options{
		ID: crashed.ID, Service: streamService, Zone: "ribe", Model: model, Software: "v2",
		EventsPerStream: events, EventGap: eventGap, WeightsLoadTime: 290 * time.Millisecond,
	})
	must(err)
	w.engines = append(w.engines, again)
	servers = append(servers, again)
	w.record("server %s is back at its address, software \"v2\"", again.ID)
	time.Sleep(beginAfter)

	over := make(chan struct{})
	go func() {
		defer close(over)
		time.Sleep(time.Until(began.Add(storeDown)))
		if trouble {
			w.store.SetDown(false)
			w.record("the store is back")
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var pairs [][2]try
	for i := range streams {
		wg.Go(func() {
			first := w.machines[0].stream(streamPath, fmt.Sprintf("stream-%d", i), nil, eventsBefore)
			m := w.machines[1+i%(len(w.machines)-1)]
			id := first.id + "-again"
			second := m.stream(streamPath, id, first.takingUp(), 0)
			w.record("%s: %s answered %d, events %d to %d; %s: %s answered %d, events %d to %d %s", first.id, w.machines[0].name, first.status, first.first, first.last,
				id, m.name, second.status, second.first, second.last, second.refusal)
			mu.Lock()
			defer mu.Unlock()
			pairs = append(pairs, [2]try{first, second})
		})
	}
	wg.Wait()
	<-over
	return w.judgeJoined(servers, pairs)
}

// judgeJoined counts the streams that hold events from servers of two versions.
func (w *world) judgeJoined(servers []*standin.Upstream, pairs [][2]try) int {
	software := map[string][]string{} // by request: versions of the servers that ran it
	for _, u := range servers {
		for _, r := range u.ReceivedRequests() {
			if r.Executed {
				software[r.ID] = append(software[r.ID], u.Software)
			}
		}
	}
	mixed, both := 0, 0
	for _, p := range pairs {
		if p[0].status != http.StatusOK || p[0].last == 0 {
			continue
		}
		before, after := software[p[0].id], software[p[1].id]
		if p[1].status != http.StatusOK || p[1].first == 0 || len(before) != 1 || len(after) != 1 {
			continue
		}
		both++
		if before[0] != after[0] {
			mixed++
			w.record("%s: events %d to %d are of software %s, events %d to %d of %s", p[0].id, p[0].first, p[0].last, before[0], p[1].first, p[1].last, after[0])
		}
	}
	w.record("of %d streams that went on %d hold events of two software versions", both, mixed)
	switch {
	case len(pairs) < streams:
		return couldNot
	case mixed > joinedLimit:
		return broken
	}
	return held
}
