package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// hijack hands the connection of a request to write, which ends with an error when
// the instance closes it, and returns the number of bytes that write wrote.
func hijack(w http.ResponseWriter, write func(out *bufio.Writer) error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_ = write(buffered.Writer)
}

// repeat writes piece until the connection is closed or 64 MB are written.
func repeat(out *bufio.Writer, piece string) error {
	for total := 0; total < 64<<20; total += len(piece) {
		if _, err := out.WriteString(piece); err != nil {
			return err
		}
	}
	return out.Flush()
}

// TestBytesWithoutEnd guards against memory that grows, and callers that wait, while
// an upstream in trouble sends bytes that are no response and never end.
func TestBytesWithoutEnd(t *testing.T) {
	noise := strings.Repeat("n", 4<<10)
	forms := map[string]func(r *http.Request, out *bufio.Writer) error{
		"no head":     func(_ *http.Request, out *bufio.Writer) error { return repeat(out, noise) },
		"status line": func(_ *http.Request, out *bufio.Writer) error { return repeat(out, "HTTP/1.1 200 "+noise) },
		"fields": func(r *http.Request, out *bufio.Writer) error {
			_, _ = out.WriteString(head(r))
			return repeat(out, "X-Noise: "+noise+"\r\n")
		},
		"chunked body": func(r *http.Request, out *bufio.Writer) error {
			_, _ = out.WriteString(head(r) + "Transfer-Encoding: chunked\r\n\r\n")
			return repeat(out, chunk(noise))
		},
		"chunk size": func(r *http.Request, out *bufio.Writer) error {
			_, _ = out.WriteString(head(r) + "Transfer-Encoding: chunked\r\n\r\n")
			return repeat(out, strings.Repeat("0", 4<<10))
		},
		"body without length": func(r *http.Request, out *bufio.Writer) error {
			_, _ = out.WriteString(head(r) + "\r\n")
			return repeat(out, noise)
		},
		"refusal": func(r *http.Request, out *bufio.Writer) error {
			_, _ = out.WriteString("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\n\r\n")
			return repeat(out, noise)
		},
	}
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	for name, form := range forms {
		for _, target := range []struct {
			upstream *standin.Upstream
			path     string
		}{{fleet.orders, "/orders/"}, {fleet.engines[0], "/long/"}} {
			target.upstream.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				hijack(w, func(out *bufio.Writer) error { return form(r, out) })
			})
			peak := peakHeap(func() {
				var callers sync.WaitGroup
				for range 8 {
					callers.Go(func() {
						began := time.Now()
						_, got := instance.request(http.MethodPost, target.path, keyBig, "x", "Model-Name", "m", "Token-Count", "3,2")
						if complete := got.err == nil && got.status == http.StatusOK; complete || time.Since(began) > 6*time.Second {
							t.Errorf("%s to %s: status %d, error %v after %v", name, target.path, got.status, got.err, time.Since(began))
						}
					})
				}
				callers.Wait()
			})
			if peak > 96<<20 {
				t.Errorf("%s to %s: heap of %d MB", name, target.path, peak>>20)
			}
			target.upstream.SetHandler(nil)
		}
	}
}

// peakHeap returns the largest heap in use, in bytes, that was seen while run ran.
func peakHeap(run func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	peak := uint64(0)
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestLongRefusalSpoilsNoConnection guards against reusing a connection on which the
// body of a refusal goes on, so that its rest is read as the next response.
func TestLongRefusalSpoilsNoConnection(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	refused := false
	fleet.orders.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if !refused {
			refused = true
			hijack(w, func(out *bufio.Writer) error {
				_, _ = out.WriteString("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n")
				_, _ = out.WriteString("1000\r\n" + strings.Repeat("x", 4<<10))
				_ = out.Flush()
				time.Sleep(300 * time.Millisecond)
				_, _ = out.WriteString("\r\n" + chunk("the rest") + "0\r\n\r\n")
				return out.Flush()
			})
			return
		}
		_, _ = fmt.Fprint(w, standin.PlainBody(seal(w, r)))
	})
	if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != http.StatusServiceUnavailable {
		t.Fatalf("got %+v", got)
	}
	time.Sleep(100 * time.Millisecond) // the upstream is busy for this instance
	if id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.body != standin.PlainBody(id) {
		t.Errorf("got %+v", got)
	}
}

// streamWith answers with the head of a stream and then what write writes.
func streamWith(write func(r *http.Request, out *bufio.Writer) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hijack(w, func(out *bufio.Writer) error {
			// The connection closes after the stream; a request that follows on it
			// within the same millisecond would get a reset, not an answer.
			_, _ = out.WriteString(head(r) + "Connection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			return write(r, out)
		})
	}
}

// TestSlowStreamIsWhole guards against a stream that is cut because its events come
// slowly, in pieces, although it is sound.
func TestSlowStreamIsWhole(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.engines[0].SetHandler(streamWith(func(r *http.Request, out *bufio.Writer) error {
		id := r.Header.Get("Request-Id")
		for i := 1; i <= 3; i++ {
			event := standin.Event(id, i)
			for _, piece := range []string{event[:5], event[5:]} {
				_, _ = out.WriteString(chunk(piece))
				_ = out.Flush()
				time.Sleep(600 * time.Millisecond)
			}
		}
		_, _ = out.WriteString("0\r\n\r\n")
		return out.Flush()
	}))
	for _, path := range []string{"/long/", "/short/"} {
		if id, got := instance.prompt(path, keyBig); got.err != nil || got.body != streamBody(id, 3) {
			t.Errorf("%s: got %+v", path, got)
		}
	}
}

// TestStalledStreamEnds guards against a caller, a connection and a slot that are held
// without end by an upstream that sends a byte now and then: inside an event, between
// events, and in a head.
func TestStalledStreamEnds(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	trickle := func(piece string) func(*http.Request, *bufio.Writer) error {
		return func(_ *http.Request, out *bufio.Writer) error {
			for range 1000 {
				_, _ = out.WriteString(piece)
				if err := out.Flush(); err != nil {
					return err
				}
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"event":    streamWith(trickle(chunk("x"))),
		"comments": streamWith(trickle(chunk(":\n\n"))),
		"head": func(w http.ResponseWriter, r *http.Request) {
			hijack(w, func(out *bufio.Writer) error { return trickle("H")(r, out) })
		},
	} {
		fleet.engines[0].SetHandler(handler)
		for _, limit := range []string{"1000", ""} { // the caller's time limit, or the route's of 5 s
			began := time.Now()
			_, got := instance.request(http.MethodPost, "/long/", keyBig, "x", "Model-Name", "m", "Token-Count", "3,2", "Deadline-Ms", limit)
			if took := time.Since(began); got.err == nil && got.status == http.StatusOK || took > 9*time.Second {
				t.Errorf("%s, limit %q: status %d, error %v after %v", name, limit, got.status, got.err, took)
			}
		}
	}
}
