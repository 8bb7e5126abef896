package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// rawOrder opens a connection and sends the head of an order whose body is "x" after body
// bytes are due. It returns the ID of the request.
func rawOrder(t *testing.T, instance *testInstance) (id string, conn net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp4", instance.options.CallerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	id = nextID()
	_, err = fmt.Fprintf(conn, "POST /orders/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\n", id, keyBig)
	if err != nil {
		t.Fatal(err)
	}
	return id, conn
}

// readReply reads the answer to an order.
func readReply(conn net.Conn) reply {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

// slowOrders makes the plain service answer after a time.
func (fleet *testFleet) slowOrders(d time.Duration) {
	fleet.orders.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, standin.PlainBody(seal(w, r)))
	})
}

// TestOrderThatRunsAtTheEndOfTheGraceIsAnswered guards against an order that is cut without an answer, because it still runs when a planned stop ends.
func TestOrderThatRunsAtTheEndOfTheGraceIsAnswered(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.slowOrders(10 * time.Second)
	id, conn := rawOrder(t, instance)
	_, _ = io.WriteString(conn, "x")
	fleet.await("the order runs", func() bool { return countRuns([]*standin.Upstream{fleet.orders}, id) == 1 })
	instance.stop()
	if got := readReply(conn); got.err != nil || (got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout) {
		t.Errorf("want an error that promises nothing, got %+v", got)
	}
}

// TestOrderWhoseBodyEndsLateInTheGraceIsNotSent guards against an order that is sent to a server although it cannot be answered any more, because its body arrived after the instance had begun to refuse.
func TestOrderWhoseBodyEndsLateInTheGraceIsNotSent(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.slowOrders(10 * time.Second)
	id, conn := rawOrder(t, instance)
	time.Sleep(100 * time.Millisecond)
	instance.stop()
	time.Sleep(1500 * time.Millisecond) // requests are refused after a third of the grace of 3 s
	_, _ = io.WriteString(conn, "x")
	got := readReply(conn)
	if runs := countRuns([]*standin.Upstream{fleet.orders}, id); runs != 0 || got.status != http.StatusServiceUnavailable {
		t.Errorf("ran %d times, want none and a refusal, got %+v", runs, got)
	}
}

// TestOrderWhoseBodyNeverEndsIsAnswered guards against a connection that is cut without an answer, because its request was still arriving when a planned stop ended.
func TestOrderWhoseBodyNeverEndsIsAnswered(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	_, conn := rawOrder(t, instance)
	time.Sleep(100 * time.Millisecond)
	instance.stop()
	if got := readReply(conn); got.err != nil || (got.status != http.StatusRequestTimeout && got.status != http.StatusServiceUnavailable) {
		t.Errorf("want a refusal, got %+v", got)
	}
}

// TestRefusedOrderIsNotSentAgainLateInTheGrace guards against an order that a second server runs at the end of a planned stop, which cuts it, because the first one refused it late.
func TestRefusedOrderIsNotSentAgainLateInTheGrace(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	other := fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	fleet.config.Routes[2].MaxAttempts = 2
	fleet.applyConfig()
	instance := fleet.startInstance("n1")
	refuseLate := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Second)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	upstreams := []*standin.Upstream{fleet.orders, other}
	for _, u := range upstreams {
		u.SetHandler(refuseLate)
	}
	id, conn := rawOrder(t, instance)
	_, _ = io.WriteString(conn, "x")
	fleet.await("the order was sent", func() bool { return countRuns(upstreams, id) == 1 })
	instance.stop()
	got := readReply(conn)
	if sent := countRuns(upstreams, id); sent != 1 || got.status != http.StatusServiceUnavailable {
		t.Errorf("sent %d times, want once and a refusal, got %+v", sent, got)
	}
}

// TestLateOrdersOnKeptConnectionsAreAnswered guards against orders that are sent on kept connections during a planned stop, run, and are cut without an answer.
func TestLateOrdersOnKeptConnectionsAreAnswered(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1)
	instance := fleet.startInstance("n1")
	fleet.slowOrders(1200 * time.Millisecond)
	type attempt struct {
		id    string
		conn  net.Conn
		after time.Duration
	}
	var attempts []attempt
	for after := 100 * time.Millisecond; after < 3*time.Second; after += 100 * time.Millisecond {
		conn, err := net.Dial("tcp4", instance.options.CallerAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		id := nextID()
		_, _ = fmt.Fprintf(conn, "GET /missing/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n\r\n", id)
		if got := readReply(conn); got.status != http.StatusNotFound {
			t.Fatalf("got %+v", got)
		}
		attempts = append(attempts, attempt{nextID(), conn, after})
	}
	began := time.Now()
	instance.stop()
	results := make(chan string, len(attempts))
	for _, a := range attempts {
		go func() {
			time.Sleep(time.Until(began.Add(a.after)))
			_, sendErr := fmt.Fprintf(a.conn, "POST /orders/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx", a.id, keyBig)
			got := readReply(a.conn)
			runs := countRuns([]*standin.Upstream{fleet.orders}, a.id)
			switch {
			case runs > 0 && got.status == 0:
				results <- fmt.Sprintf("%v after the signal: ran, but got no answer (%v, %v)", a.after, sendErr, got.err)
			case runs > 0 && got.status == http.StatusServiceUnavailable:
				results <- fmt.Sprintf("%v after the signal: ran, but was refused as not run", a.after)
			default:
				results <- ""
			}
		}()
	}
	for range attempts {
		if text := <-results; text != "" {
			t.Error(text)
		}
	}
}
