//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const plainService = "loan-ledger"

// arrival is a request that reached a plain server.
type arrival struct {
	id string
	at time.Time
}

// plainServer is a server of a plain service.
type plainServer struct {
	w    *world
	id   string
	addr string
	work time.Duration
	http *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

func (w *world) addPlain(id string, work time.Duration) (*plainServer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{w: w, id: id, addr: ln.Addr().String(), work: work}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	raw, _ := json.Marshal(map[string]any{
		"service": plainService, "address": s.addr, "zone": "piedmont-a", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	w.store.Put("servers", id, raw)
	return s, nil
}

func (s *plainServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Instance-Id", s.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mu.Unlock()
	s.w.note("%s: runs %s", s.id, id)
	time.Sleep(s.work)
	rw.Header().Set("Server-Seal", s.id+"."+id)
	_, _ = io.WriteString(rw, fmt.Sprintf("answer to %s", id))
}

// leave removes the entry of the server. It goes on serving.
func (s *plainServer) leave() time.Time {
	s.w.store.Delete("servers", s.id)
	at := time.Now()
	s.w.note("store: the entry of %s is removed; it goes on serving", s.id)
	return at
}

// exit ends the server and its connections.
func (s *plainServer) exit() {
	s.w.note("%s exits", s.id)
	_ = s.http.Close()
}

func (s *plainServer) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}
