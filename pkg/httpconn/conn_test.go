package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// upstream accepts connections and answers each request with what answer writes.
func upstream(t *testing.T, answer func(conn net.Conn, request string)) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn, answer)
		}
	}()
	return ln.Addr().String()
}

func serve(conn net.Conn, answer func(conn net.Conn, request string)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, req.Header.Get("Request-Id"))
	}
}

func newTestPool() *ConnPool { return NewConnPool((&net.Dialer{}).DialContext, 4, time.Now) }

// exchange sends a request over the pool and returns the body of its response.
func exchange(ctx context.Context, pool *ConnPool, addr, id string) (string, error) {
	conn, err := pool.Get(ctx, addr, time.Hour)
	if err != nil {
		return "", err
	}
	if _, err := conn.Send(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {id}}}); err != nil {
		return "", err
	}
	resp, stop, err := conn.Receive(ctx, http.MethodGet, id, func(r *http.Response) string { return r.Header.Get("Request-Id") })
	if err != nil {
		conn.Close()
		return "", err
	}
	defer stop()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		pool.Put(addr, conn, 0)
	}
	return string(body), err
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestEndlessHeadIsBounded guards against a process that reads a head, or interim
// responses, without end until its memory is used up.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, piece := range map[string]string{
		"header fields": "X-Noise: " + strings.Repeat("n", 100) + "\r\n",
		"one line":      strings.Repeat("n", 1000),
		"short fields":  "n:\r\n",
		"interim":       "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		written := make(chan int, 1)
		addr := upstream(t, func(conn net.Conn, _ string) {
			total := 0
			if name != "interim" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			}
			for total < 64<<20 {
				n, err := io.WriteString(conn, strings.Repeat(piece, 100))
				total += n
				if err != nil {
					break
				}
			}
			written <- total
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		_, err := exchange(ctx, newTestPool(), addr, "a")
		cancel()
		if !errors.Is(err, ErrHeadTooLarge) {
			t.Errorf("%s: error %v, want ErrHeadTooLarge", name, err)
		}
		if total := <-written; total >= 64<<20 {
			t.Errorf("%s: read %d bytes of a head that does not end", name, total)
		}
	}
}

// TestLateCopyIsSkipped guards against taking a second copy of an earlier response,
// sent late on a connection that is in use again, for the response to the request
// that waits there.
func TestLateCopyIsSkipped(t *testing.T) {
	for _, behind := range []int{1, maxAnswered} {
		var earlier []string
		addr := upstream(t, func(conn net.Conn, id string) {
			late := ""
			if len(earlier) >= behind {
				id := earlier[len(earlier)-behind]
				late = response(id, "of "+id)
			}
			earlier = append(earlier, id)
			_, _ = io.WriteString(conn, late+response(id, "of "+id))
		})
		pool := newTestPool()
		for i := range 2 * maxAnswered {
			id := fmt.Sprint("r", i)
			if body, err := exchange(t.Context(), pool, addr, id); err != nil || body != "of "+id {
				t.Errorf("copies %d requests late, request %s: body %q, error %v", behind, id, body, err)
			}
		}
	}
}

// TestLateCopyBodyIsNoResponse guards against reading a response out of the body of
// a late copy that is too large to skip, or whose end is not known.
func TestLateCopyBodyIsNoResponse(t *testing.T) {
	forged := response("r1", "forged")
	for name, head := range map[string]string{
		"large": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxSkippedBodyBytes+len(forged), strings.Repeat("x", maxSkippedBodyBytes)),
		"open":  "\r\n",
	} {
		addr := upstream(t, func(conn net.Conn, id string) {
			if id == "r0" {
				_, _ = io.WriteString(conn, response(id, "ok"))
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"+head+forged)
		})
		pool := newTestPool()
		if _, err := exchange(t.Context(), pool, addr, "r0"); err != nil {
			t.Fatal(err)
		}
		if body, err := exchange(t.Context(), pool, addr, "r1"); !errors.Is(err, ErrResponseMismatch) {
			t.Errorf("%s: body %q, error %v, want ErrResponseMismatch", name, body, err)
		}
	}
}

// TestForeignResponseEndsTheWait guards against waiting until the deadline after a
// response that is no late copy, on a connection that is in use again.
func TestForeignResponseEndsTheWait(t *testing.T) {
	for name, foreign := range map[string]string{
		"other ID": response("other", "x"),
		"no ID":    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	} {
		addr := upstream(t, func(conn net.Conn, id string) {
			if id == "r0" {
				_, _ = io.WriteString(conn, response(id, "ok"))
				return
			}
			_, _ = io.WriteString(conn, foreign)
		})
		pool := newTestPool()
		if _, err := exchange(t.Context(), pool, addr, "r0"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if _, err := exchange(ctx, pool, addr, "r1"); !errors.Is(err, ErrResponseMismatch) {
			t.Errorf("%s: error %v, want ErrResponseMismatch", name, err)
		}
		cancel()
	}
}
