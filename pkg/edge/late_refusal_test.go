package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// repeatingServer refuses every second request on a connection, runs the others, and
// writes its last refusal once more before or after the answer to the next request.
type repeatingServer struct {
	id     string
	before bool // the copy precedes the answer, otherwise it follows
	withID bool // refusals name the request that they are for
	mu     sync.Mutex
	runs   map[string]int
	copies int
}

func (s *repeatingServer) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *repeatingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusal := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Request-Id")
		if n%2 == 0 {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
			if s.withID {
				refusal += "Request-Id: " + id + "\r\n"
			}
			refusal += "\r\n"
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\nRequest-Id: "+id+"\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		s.copies++
		s.mu.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nContent-Length: 2\r\n\r\nok", id, standin.Seal(s.id, id))
		if s.before {
			_, _ = io.WriteString(conn, refusal)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, answer)
			continue
		}
		_, _ = io.WriteString(conn, answer)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, refusal)
	}
}

// TestRepeatedRefusalIsNoAnswerToAnotherRequest guards against telling callers that a request has not run which a server runs, or running it again elsewhere, because the server wrote an earlier refusal once more on a kept connection.
func TestRepeatedRefusalIsNoAnswerToAnotherRequest(t *testing.T) {
	t.Parallel()
	for _, before := range []bool{true, false} {
		for _, withID := range []bool{true, false} {
			t.Run(fmt.Sprintf("before the answer %v, with an ID %v", before, withID), func(t *testing.T) {
				t.Parallel()
				fleet := newTestFleet(t, 1)
				fleet.orders.Unregister()
				var servers []*repeatingServer
				for i := range 2 {
					s := &repeatingServer{id: fmt.Sprint("f", i), before: before, withID: withID, runs: map[string]int{}}
					ln := listen(t)
					t.Cleanup(func() { _ = ln.Close() })
					go s.serve(ln)
					servers = append(servers, s)
					row := fmt.Sprintf(`{"service":"orders","address":%q,"zone":"z1","version":"","slots":64,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`, ln.Addr())
					fleet.store.Put(platform.TableUpstreams, s.id, []byte(row))
				}
				instance := fleet.startInstance("n0")
				time.Sleep(settleTime)
				for range 40 {
					time.Sleep(100 * time.Millisecond) // a server that refused gets nothing for 60 ms
					id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x")
					runs := 0
					for _, s := range servers {
						s.mu.Lock()
						runs += s.runs[id]
						s.mu.Unlock()
					}
					if runs > 1 || (got.status == http.StatusServiceUnavailable && runs > 0) || (got.status == http.StatusOK && got.body != "ok") {
						t.Errorf("%s: status %d, body %q, ran %d times", id, got.status, got.body, runs)
					}
				}
				if servers[0].copies+servers[1].copies == 0 {
					t.Error("no refusal was written once more")
				}
			})
		}
	}
}
