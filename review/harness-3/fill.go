//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	fillClients = 2700 // of the 4,100 descriptors of a machine
	fillPause   = 500 * time.Microsecond
	stableTime  = 3 * time.Second // stable_ms
	callers     = 10              // ordinary clients; the rule asks for seven
	callPause   = 100 * time.Millisecond
	otherKey    = "key-of-another-customer"
)

// fill has a crowd of one customer, at one address, hold connections with long streams while
// ordinary clients of another customer, each at an address of its own, open new connections
// to the same machine.
func fill(w *world, trouble bool) int {
	config := streamConfig()
	config.Customers = append(config.Customers, routing.Customer{Name: "schools"})
	config.Keys[otherKey] = "schools"
	w.configure(config)
	for i := range 12 {
		w.engine(standin.Options{
			ID: fmt.Sprintf("i-%d", 1+i), Service: streamService, Zone: "ribe", Model: model, Software: "v1",
			EventsPerStream: 20, EventGap: 370 * time.Millisecond, Slots: 64, Room: 256, // 192 wait
		})
	}
	w.startMachines("front-ribe-1", "front-ribe-2", "front-aalborg-1", "front-aalborg-2", "front-hirtshals-1", "front-vejle-1")
	time.Sleep(4 * time.Second)
	m := w.machines[0]
	clients := fillClients
	if !trouble {
		clients = calmClients
	}
	var crowdWait sync.WaitGroup
	var streaming atomic.Int64
	end := m.limitMemory()
	for i := range clients {
		crowdWait.Go(func() {
			time.Sleep(time.Duration(i) * fillPause)
			m.holdStream(i, &streaming)
		})
	}
	time.Sleep(time.Duration(clients)*fillPause + 500*time.Millisecond)
	w.record("%d streams of the crowd run", streaming.Load())
	longest := w.callAnew(m)
	crowdWait.Wait()
	peak, killed := end()
	w.record("longest time in which no new connection of an ordinary client got an answer: %v; most memory %d kB, killed: %v", longest, peak, killed)
	if longest >= stableTime {
		return broken
	}
	return held
}

// callAnew has ordinary clients open new connections for a while, and returns the longest
// time in which none got an answer although the machine said that it was ready.
func (w *world) callAnew(m *machine) (longest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	last := began
	tries, answers, ready, notReady := 0, 0, 0, 0
	note := func(answered bool) {
		mu.Lock()
		defer mu.Unlock()
		tries++
		if answered {
			answers++
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
	}
	until := began.Add(stableTime + 1500*time.Millisecond)
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				t := m.streamFrom(w.ip(200+i), streamPath, fmt.Sprintf("caller-%d-%d", i, n), map[string]string{"Authorization": "Bearer " + otherKey}, 1)
				note(t.status != 0)
				time.Sleep(callPause)
			}
		})
	}
	for time.Now().Before(until) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", m.ip, portReady, platform.ReadinessPath))
		if err == nil && resp.StatusCode == http.StatusOK {
			ready++
		} else {
			notReady++
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	longest = max(longest, time.Since(last))
	w.record("%d new connections of %d ordinary clients: %d answered; readiness: %d times ready, %d times not", tries, callers, answers, ready, notReady)
	if notReady > 0 {
		return 0
	}
	return longest
}

// holdStream sends one small request for a stream and reads the answer to its end.
func (m *machine) holdStream(n int, streaming *atomic.Int64) {
	conn, err := dialer(m.world.ip(190)).Dial("tcp4", net.JoinHostPort(m.ip, strconv.Itoa(portFront)))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 8000\r\n"+
		"Model-Name: %s\r\nToken-Count: 300,20\r\nPrompt-Prefix: a1:200,%x:100\r\nContent-Length: 0\r\n\r\n",
		streamPath, host, n, key, model, n)
	if _, err := io.WriteString(conn, request); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(9 * time.Second))
	answer := make([]byte, 1<<10)
	if _, err := conn.Read(answer); err != nil {
		return
	}
	streaming.Add(1)
	_, _ = io.Copy(io.Discard, conn)
}
