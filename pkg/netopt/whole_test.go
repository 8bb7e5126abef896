package netopt

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/internal/faultyserver"
)

func newWholeClient(t *testing.T) *http.Client {
	transport := &http.Transport{DisableCompression: true}
	client := &http.Client{Transport: WholeResponses(transport)}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// TestPartOfAnAnswerIsNotWhole guards against a part of an answer that counts as all of it, since its connection was reset while the request was still being written.
func TestPartOfAnAnswerIsNotWhole(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, size := range []int{300 << 10, 1 << 20, 8 << 20, 32 << 20} {
			faultyserver.ExpectNoPart(t, newWholeClient(t), size, pause)
		}
	}
}

// TestAnswerThatEndsWithItsConnectionIsWhole guards against answers that are rejected although the request was written to its end.
func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	client := newWholeClient(t)
	server := httptest.NewServer(faultyserver.Raw(func(*http.Request) string { return faultyserver.UnframedHead(nil) + "\r\nwhole" }))
	defer server.Close()
	for _, size := range []int{0, 1, 300 << 10, 8 << 20} {
		for range 20 {
			resp, err := client.Post(server.URL, "", bytes.NewReader(make([]byte, size)))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || string(body) != "whole" {
				t.Errorf("upload of %d bytes: %q, error %v", size, body, err)
			}
		}
	}
}

// TestFramedAnswerBeforeTheEndOfTheRequest guards against the loss of an early answer whose end is certain.
func TestFramedAnswerBeforeTheEndOfTheRequest(t *testing.T) {
	client := newWholeClient(t)
	for name, head := range map[string]string{"length": "Content-Length: 5\r\n\r\nwhole", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, faultyserver.UnframedHead(nil)+head)
			time.Sleep(300 * time.Millisecond) // with the rest of the request unread
			_ = conn.Close()
		}))
		resp, err := client.Post(server.URL, "", bytes.NewReader(make([]byte, 32<<20)))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != "whole" {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
		server.Close()
	}
}

// TestWholeResponsesEndWithTheRequest guards against a read that waits for a request that is never written to its end.
func TestWholeResponsesEndWithTheRequest(t *testing.T) {
	client := newWholeClient(t)
	server := httptest.NewServer(faultyserver.EarlyReset(faultyserver.UnframedHead, "partial", 0))
	defer server.Close()
	request, pending := io.Pipe() // never ends
	defer func() { _ = pending.Close() }()
	began := time.Now()
	resp, err := client.Post(server.URL, "", request)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil || errors.Is(err, io.EOF) || time.Since(began) > 10*time.Second {
		t.Errorf("error %v after %v", err, time.Since(began))
	}
}
