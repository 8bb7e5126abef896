package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// writeRaw writes raw bytes as the response and closes the connection.
func writeRaw(w http.ResponseWriter, raw string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString(raw)
	_ = buffered.Flush()
	_ = conn.Close()
}

// seal adds the header that proves which request the response belongs to, and
// returns the request's ID.
func seal(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Server-Seal", standin.Seal("s", id))
	return id
}

// TestBrokenAnswersAreNoSuccess guards against forwarding a response as complete if
// it is truncated, belongs to another request or lacks its seal, and against telling
// the caller that an order has not run if it may have.
func TestBrokenAnswersAreNoSuccess(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	for name, answer := range map[string]http.HandlerFunc{
		"no proof": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") },
		"other id": func(w http.ResponseWriter, r *http.Request) { seal(w, r); w.Header().Set("Request-Id", "other") },
		"cut body": func(w http.ResponseWriter, r *http.Request) { writeRaw(w, head(r)+"Content-Length: 100\r\n\r\nshort") },
		"cut chunks": func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, head(r)+"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n")
		},
		"no answer": func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "") },
		"noise":     func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "\x00\x01 not HTTP\r\n\r\n") },
		"coded body": func(w http.ResponseWriter, r *http.Request) {
			seal(w, r)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		},
		"bare refusal": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"bare 429":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
	} {
		for _, connection := range []string{"new", "in use again"} {
			if connection == "in use again" {
				fleet.orders.SetHandler(sealedAnswer)
				if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "one cast"); got.status != http.StatusOK {
					t.Errorf("%s: sound answer before it: got %+v", name, got)
				}
			}
			fleet.orders.SetHandler(answer)
			id, got := instance.request(http.MethodPost, "/orders/", keyBig, "one cast")
			if got.status != http.StatusBadGateway {
				t.Errorf("%s, connection %s: got %+v", name, connection, got)
			}
			if count := countRuns([]*standin.Upstream{fleet.orders}, id); count != 1 {
				t.Errorf("%s, connection %s: the order ran %d times", name, connection, count)
			}
		}
	}
}

func sealedAnswer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, standin.PlainBody(seal(w, r)))
}

// head returns a status line and headers that seal the response.
func head(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: " + standin.Seal("s", id) + "\r\n"
}

// TestUpstreamErrorIsForwarded guards against replacing an error response that an
// upstream generated itself.
func TestUpstreamErrorIsForwarded(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.orders.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, "no more resin")
	})
	if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 409 || got.body != "no more resin" {
		t.Errorf("got %+v", got)
	}
}

// TestRefusalMeansNotRun guards against status 503 for an order that ran, and against
// any other status for one that did not.
func TestRefusalMeansNotRun(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.orders.Slots = 0
	id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x")
	if got.status != 503 || got.header.Get("Retry-After") == "" || countRuns([]*standin.Upstream{fleet.orders}, id) != 0 {
		t.Errorf("got %+v", got)
	}
	fleet.orders.Stop()
	if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 503 {
		t.Errorf("upstream stopped: got %+v", got)
	}
}

// TestIdempotentRequestIsRetried guards against returning a failure to the caller if
// a retry at another upstream would succeed.
func TestIdempotentRequestIsRetried(t *testing.T) {
	fleet := newTestFleet(t, 1)
	other := fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	instance := fleet.startInstance("n1")
	fleet.orders.SetHandler(func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "") })
	other.SetHandler(sealedAnswer)
	for range 6 {
		if id, got := instance.request(http.MethodGet, "/read/1", "", ""); got.body != standin.PlainBody(id) {
			t.Errorf("got %+v", got)
		}
	}
}

// TestCutStreamIsNeverComplete guards against a stream that looks complete to the
// caller although the upstream closed it early.
func TestCutStreamIsNeverComplete(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.engines[0].SetHandler(func(w http.ResponseWriter, r *http.Request) {
		writeRaw(w, head(r)+"Transfer-Encoding: chunked\r\n\r\n"+chunk(standin.Event("x", 1))+chunk("id: 2\nda"))
	})
	if _, got := instance.prompt("/long/", keyBig); got.err == nil && got.status == 200 {
		t.Errorf("got %+v", got)
	}
}

// chunk encodes text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestResumableStreamGoesOn guards against events that are missing or repeated when a
// stream is resumed at another upstream.
func TestResumableStreamGoesOn(t *testing.T) {
	fleet := newTestFleet(t, 2)
	instance := fleet.startInstance("n1")
	var cuts atomic.Int32
	for _, e := range fleet.engines {
		e.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			id := req.Header.Get("Request-Id")
			if cuts.Add(1) == 1 {
				writeRaw(w, head(req)+"Transfer-Encoding: chunked\r\n\r\n"+chunk(standin.Event(id, 1)+standin.Event(id, 2)+"id: 3\nda"))
				return
			}
			if req.Header.Get("Last-Event-Id") != "2" {
				t.Errorf("resumed after %q", req.Header.Get("Last-Event-Id"))
			}
			seal(w, req)
			_, _ = io.WriteString(w, standin.Event(id, 3)+standin.Event(id, 4))
		})
	}
	id, got := instance.prompt("/short/", keyBig)
	if got.err != nil || got.body != streamBody(id, 4) {
		t.Errorf("got %+v", got)
	}
}

// TestExtraBytesSpoilNoLaterAnswer guards against taking bytes that follow a response
// for the response to the next request on the connection.
func TestExtraBytesSpoilNoLaterAnswer(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.orders.SetHandler(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Request-Id")
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		body := standin.PlainBody(id)
		answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(req), len(body), body)
		_, _ = buffered.WriteString(answer + answer)
		_ = buffered.Flush()
		_ = conn.Close()
	})
	for range 5 {
		if id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 200 || !strings.Contains(got.body, id) {
			t.Errorf("got %+v", got)
		}
	}
}

// TestReplacedServerIsNotTrusted guards against requests that are run by an upstream
// that has taken over the address of another.
func TestReplacedServerIsNotTrusted(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	addr := fleet.orders.Addr
	fleet.orders.Stop()
	intruder, err := standin.StartUpstream(standin.NewStore(), addr, standin.Options{ID: "intruder", Service: "other"})
	if err != nil {
		t.Fatal(err)
	}
	defer intruder.Stop()
	id, got := instance.request(http.MethodPost, "/orders/", keyBig, "x")
	if got.status != 503 || countRuns([]*standin.Upstream{intruder}, id) != 0 {
		t.Errorf("got %+v", got)
	}
}

// TestUnframedStream guards against a stream without length or chunks that is cut in or before an event and looks complete.
func TestUnframedStream(t *testing.T) {
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	whole := standin.Event("x", 1) + standin.Event("x", 2)
	for name, c := range map[string]struct {
		body     string
		complete bool
	}{
		"whole":                {whole, true},
		"cut inside an event":  {whole + "id: 3\ndata: to", false},
		"cut before any event": {"", false},
	} {
		fleet.engines[0].SetHandler(func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, head(r)+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"+c.body)
		})
		_, got := instance.prompt("/long/", keyBig)
		if complete := got.status == http.StatusOK && got.err == nil; complete != c.complete {
			t.Errorf("%s: complete %v: %+v", name, complete, got)
		}
	}
}

// TestSilentServerEndsNoRequest guards against giving up requests, or blaming them, because a sound server answers nothing for a second or so and goes on.
func TestSilentServerEndsNoRequest(t *testing.T) {
	t.Parallel()
	fleet := newCutoffFleet(t, 2)
	var wg sync.WaitGroup
	done := make(chan struct{})
	counts := []*tries{{}, {}}
	for i, instance := range fleet.instances {
		for range 4 {
			wg.Go(func() {
				for !isClosed(done) {
					fleet.call(instance, counts[i])
				}
			})
		}
	}
	for i := range 4 {
		fleet.plain[i].SetSilent(1300 * time.Millisecond)
		fleet.engines[i].SetSilent(1300 * time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
	}
	close(done)
	wg.Wait()
	for i, c := range counts {
		if c.served < c.sent || c.sent < 100 {
			t.Errorf("instance %d served %d of %d requests", i, c.served, c.sent)
		}
		for _, text := range c.untrue {
			t.Error(text)
		}
		if log := fleet.instances[i].log.String(); strings.Contains(log, "upstream ended") || strings.Contains(log, "can be reached") {
			t.Errorf("instance %d took a silent upstream for one that has ended", i)
		}
	}
}
