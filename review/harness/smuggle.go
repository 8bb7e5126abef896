//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// smuggle plays: a client sends requests whose body holds the bytes of another request, and
// one connection each. The body has a length. With the trouble the head also names the
// transfer coding chunked, and the body begins with the end of a chunked one.
func smuggle(w *world) (broken bool, err error) {
	server, err := w.addPlain("i-plain-1", 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	config := baseConfig()
	config.Services = append(config.Services, routing.Service{Name: plainService, HealthPath: "/health", ConnLimit: 96})
	config.Routes = append(config.Routes, routing.Route{
		Name: "post", Host: host, Prefix: "/post/", Kind: routing.Unsafe, Split: []routing.WeightedService{{Service: plainService, Weight: 1}},
		Timeout: time.Second, TargetLatency: 150 * time.Millisecond, MaxAttempts: 1,
	})
	if err := w.putConfig(config); err != nil {
		return false, err
	}
	if err := w.startInstances("a-1", "b-1", "c-1"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	sent := map[string]bool{}
	answered := 0
	for n := range 9 {
		id := fmt.Sprintf("order-%d", n)
		sent[id] = true
		status, err := w.instances[n%3].sendWithInner(id, fmt.Sprintf("inner-%d", n), w.trouble)
		w.note("client: request %s: status %d, %v", id, status, err)
		if err == nil {
			answered++
		}
	}
	time.Sleep(500 * time.Millisecond)
	if answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	for _, a := range server.arrived() {
		if !sent[a.id] {
			broken = true
			w.note("BROKEN UNASKED: %s ran request %s, which no client sent: its bytes were in the body of another", server.id, a.id)
		}
	}
	return broken, nil
}

// sendWithInner sends a request on a connection of its own, with the bytes of another in its
// body, and returns the status of the answer.
func (i *instance) sendWithInner(id, innerID string, chunked bool) (int, error) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", i.ip, portFront), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	head := func(id string) string {
		return "POST /post/1 HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer key-of-the-school\r\n"
	}
	body := head(innerID) + "Content-Length: 0\r\n\r\n"
	coding := ""
	if chunked {
		body = "0\r\n\r\n" + body
		coding = "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, head(id)+fmt.Sprintf("Content-Length: %d\r\n", len(body))+coding+"\r\n"+body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && !strings.Contains(string(answer), id) {
		return resp.StatusCode, fmt.Errorf("the answer is of another request: %q", answer)
	}
	return resp.StatusCode, err
}
