package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
)

// balancer sends each request to an instance that is not draining, as the
// platform's load balancer does. An instance leaves once the requests that were
// sent to it have been accepted.
type balancer struct {
	mu   sync.Mutex
	list []*member
	next int
}

type member struct {
	*instance
	accepting sync.RWMutex // held for reading until a response begins
	left      bool
}

func (b *balancer) pick() *member {
	for {
		b.mu.Lock()
		b.next++
		m := b.list[b.next%len(b.list)]
		b.mu.Unlock()
		m.accepting.RLock()
		if !m.left {
			return m
		}
		m.accepting.RUnlock()
	}
}

// TestGracefulStops guards against streams cut, refused or shortened by planned
// stops of instances under load.
func TestGracefulStops(t *testing.T) {
	const instances, clients, stops = 4, 24, 200
	upstream := &engineFake{words: 12, event: func(int, string) { time.Sleep(time.Millisecond) }}
	b := &balancer{}
	add := func() *member {
		m := &member{}
		m.instance = start(t, map[string][]http.Handler{"plume": {upstream}}, func(p *Parts, _ *Options) {
			p.OnDrain = func(context.Context) {
				m.accepting.Lock()
				m.left = true
				m.accepting.Unlock()
			}
		})
		return m
	}
	for range instances {
		b.list = append(b.list, add())
	}
	var streams, open, atStop atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				m := b.pick()
				resp := m.send(t, streamCall)
				m.accepting.RUnlock()
				open.Add(1)
				data := readAll(resp)
				open.Add(-1)
				streams.Add(1)
				if strings.Count(data, "w") != 12 || !strings.HasSuffix(data, "data: [DONE]\n\n") {
					t.Errorf("status %d, stream %s", resp.StatusCode, data)
				}
			}
		})
	}
	for i := range stops {
		for open.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		atStop.Add(open.Load())
		old := b.list[i%instances]
		fresh := add()
		b.mu.Lock()
		b.list[i%instances] = fresh
		b.mu.Unlock()
		if err := old.stop(); err != nil {
			t.Errorf("stop %d: %v", i, err)
		}
		if n := old.pools.open.Load(); n != 0 {
			t.Errorf("stop %d: %d slots are still held", i, n)
		}
	}
	close(done)
	wg.Wait()
	t.Logf("%d stops, %d streams, %.1f open at each stop", stops, streams.Load(), float64(atStop.Load())/stops)
}

// TestDrainPhases guards against an instance that refuses work while the load
// balancer still sends, or takes work after the drain delay.
func TestDrainPhases(t *testing.T) {
	release := make(chan struct{})
	upstream := &engineFake{words: 2, event: func(seq int, _ string) {
		if seq == 2 {
			<-release
		}
	}}
	draining := make(chan struct{})
	in := start(t, map[string][]http.Handler{"plume": {upstream}, "atelier": {&engineFake{}}}, func(p *Parts, _ *Options) {
		p.OnDrain = func(context.Context) { <-draining }
	})
	get := func(path string) (*http.Response, string) {
		resp, _, data := in.do(t, call{http.MethodGet, path, "", "", nil})
		return resp, data
	}
	if resp, _ := get("/readyz"); resp.StatusCode != http.StatusOK {
		t.Errorf("ready: status %d", resp.StatusCode)
	}
	stream := in.open(t, streamCall)
	idle, err := net.Dial("tcp", strings.TrimPrefix(in.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	stopped := make(chan error, 1)
	go func() { stopped <- in.stop() }()
	for {
		if resp, _ := get("/readyz"); resp.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if resp, _ := get("/healthz"); resp.StatusCode != http.StatusOK {
		t.Errorf("health while draining: status %d", resp.StatusCode)
	}
	if resp, data := get("/atelier/status"); resp.StatusCode != http.StatusOK {
		t.Errorf("request while draining: status %d: %s", resp.StatusCode, data)
	}
	close(draining)
	for { // the listener is closed at the end of the drain delay
		conn, err := net.Dial("tcp", idle.RemoteAddr().String())
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	// Either refusal is right: the idle connection is closed, or the request is
	// answered as not run.
	_, _ = fmt.Fprintf(idle, "GET /atelier/status HTTP/1.1\r\nHost: x\r\n\r\n")
	answer := make([]byte, 1024)
	n, _ := idle.Read(answer)
	if got := string(answer[:n]); n > 0 && !strings.Contains(got, fmt.Sprint(int(code.ShuttingDown))) {
		t.Errorf("request after the drain delay: %s", got)
	}
	select {
	case err := <-stopped:
		t.Fatalf("stopped with an open stream: %v", err)
	default:
	}
	close(release)
	if data := readAll(&http.Response{Body: stream}); !strings.HasSuffix(data, "data: [DONE]\n\n") {
		t.Errorf("stream %s", data)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
