package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// writeRaw writes raw bytes as the answer and closes the connection.
func writeRaw(w http.ResponseWriter, raw string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString(raw)
	_ = buffered.Flush()
	_ = conn.Close()
}

func seal(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Server-Seal", standin.Seal("s", id))
	return id
}

// TestBrokenAnswersAreNoSuccess guards against answers that are cut, foreign or
// without proof being passed on as complete, and against refusals that promise
// that an order has not run.
func TestBrokenAnswersAreNoSuccess(t *testing.T) {
	r := newTestFleet(t, 1)
	n := r.startInstance("n1")
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
		r.orders.SetHandler(answer)
		id, got := n.request(http.MethodPost, "/orders/", keyBig, "one cast")
		if got.status != http.StatusBadGateway {
			t.Errorf("%s: got %+v", name, got)
		}
		if count := countRuns([]*standin.Upstream{r.orders}, id); count != 1 {
			t.Errorf("%s: the order ran %d times", name, count)
		}
	}
}

func head(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: " + standin.Seal("s", id) + "\r\n"
}

// TestOwnFailurePasses guards against a server's own answer being replaced.
func TestOwnFailurePasses(t *testing.T) {
	r := newTestFleet(t, 1)
	n := r.startInstance("n1")
	r.orders.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, "no more resin")
	})
	if _, got := n.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 409 || got.body != "no more resin" {
		t.Errorf("got %+v", got)
	}
}

// TestRefusalIsTrue guards against 503 for an order that ran, and against no
// 503 for one that did not.
func TestRefusalIsTrue(t *testing.T) {
	r := newTestFleet(t, 1)
	n := r.startInstance("n1")
	r.orders.Slots = 0
	id, got := n.request(http.MethodPost, "/orders/", keyBig, "x")
	if got.status != 503 || got.header.Get("Retry-After") == "" || countRuns([]*standin.Upstream{r.orders}, id) != 0 {
		t.Errorf("got %+v", got)
	}
	r.orders.Stop()
	if _, got := n.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 503 {
		t.Errorf("server gone: got %+v", got)
	}
}

// TestIdempotentRequestIsRetried guards against a failure that another upstream
// could have made good.
func TestIdempotentRequestIsRetried(t *testing.T) {
	r := newTestFleet(t, 1)
	other := r.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	n := r.startInstance("n1")
	r.orders.SetHandler(func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "") })
	other.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, standin.PlainBody(seal(w, r)))
	})
	for range 6 {
		if id, got := n.request(http.MethodGet, "/read/1", "", ""); got.body != standin.PlainBody(id) {
			t.Errorf("got %+v", got)
		}
	}
}

// TestCutStreamIsNeverComplete guards against a stream that looks whole though
// its server broke it off.
func TestCutStreamIsNeverComplete(t *testing.T) {
	r := newTestFleet(t, 1)
	n := r.startInstance("n1")
	r.engines[0].SetHandler(func(w http.ResponseWriter, r *http.Request) {
		writeRaw(w, head(r)+"Transfer-Encoding: chunked\r\n\r\n"+chunk(standin.Event("x", 1))+chunk("id: 2\nda"))
	})
	if _, got := n.prompt("/long/", keyBig); got.err == nil && got.status == 200 {
		t.Errorf("got %+v", got)
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestResumableStreamGoesOn guards against events that are missing or come twice
// when a stream goes on at another upstream.
func TestResumableStreamGoesOn(t *testing.T) {
	r := newTestFleet(t, 2)
	n := r.startInstance("n1")
	var cuts atomic.Int32
	for _, e := range r.engines {
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
	id, got := n.prompt("/short/", keyBig)
	if got.err != nil || got.body != streamBody(id, 4) {
		t.Errorf("got %+v", got)
	}
}

// TestExtraBytesSpoilNoLaterAnswer guards against bytes after an answer that are
// taken for the next one.
func TestExtraBytesSpoilNoLaterAnswer(t *testing.T) {
	r := newTestFleet(t, 1)
	n := r.startInstance("n1")
	r.orders.SetHandler(func(w http.ResponseWriter, req *http.Request) {
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
		if id, got := n.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != 200 || !strings.Contains(got.body, id) {
			t.Errorf("got %+v", got)
		}
	}
}

// TestReplacedServerIsNotTrusted guards against requests run by a server that
// has taken the address of another.
func TestReplacedServerIsNotTrusted(t *testing.T) {
	r := newTestFleet(t, 1)
	n := r.startInstance("n1")
	addr := r.orders.Addr
	r.orders.Stop()
	intruder, err := standin.StartUpstream(standin.NewStore(), addr, standin.Options{ID: "intruder", Service: "other"})
	if err != nil {
		t.Fatal(err)
	}
	defer intruder.Stop()
	id, got := n.request(http.MethodPost, "/orders/", keyBig, "x")
	if got.status != 503 || countRuns([]*standin.Upstream{intruder}, id) != 0 {
		t.Errorf("got %+v", got)
	}
}
