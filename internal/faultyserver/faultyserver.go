// Package faultyserver plays servers in trouble, for tests.
package faultyserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// UnframedHead is the head of a response whose body ends with its connection, without the
// empty line at its end.
func UnframedHead(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }

// ExpectNoPart fails the test if a client takes a part of an answer for all of it. The
// connection is reset a while after the answer began, while an upload of so many bytes is
// still being written.
func ExpectNoPart(t testing.TB, client *http.Client, size int, pause time.Duration) {
	t.Helper()
	server := httptest.NewServer(EarlyReset(UnframedHead, "part", pause))
	defer server.Close()
	defer client.CloseIdleConnections()
	for range 10 {
		if body, err := upload(client, server.URL, size); err == nil {
			t.Errorf("upload of %d bytes, reset after %v: %q is taken for the whole answer", size, pause, body)
		}
	}
}

// upload sends bytes and returns the body of the response.
func upload(client *http.Client, url string, size int) ([]byte, error) {
	resp, err := client.Post(url, "", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// EarlyReset returns a handler that answers before it has read the body of the request, and
// resets the connection after a pause. head returns the head of the response, without the
// empty line at its end; part is what is sent of its body.
func EarlyReset(head func(*http.Request) string, part string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, err := answer(w, head(r)+"\r\n"+part)
		if err != nil {
			return
		}
		time.Sleep(pause)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Raw returns a handler that reads the request, answers with bytes and closes the
// connection. text returns the bytes.
func Raw(text func(*http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if conn, err := answer(w, text(r)); err == nil {
			_ = conn.Close()
		}
	}
}

// answer takes over the connection of a request and writes a text to it.
func answer(w http.ResponseWriter, text string) (net.Conn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
