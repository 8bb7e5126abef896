// Package faultyserver plays servers in trouble, for tests.
package faultyserver

import (
	"io"
	"net"
	"net/http"
	"time"
)

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
