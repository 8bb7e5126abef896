//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// try is one client attempt at a stream.
type try struct {
	id      string
	status  int // 0: no answer
	wait    time.Duration
	first   int // number of the first event; 0: none
	last    int // number of the last event
	whole   bool
	refusal string
}

// prompt returns the parts of the prompt of a request: one that all share and one of its own.
func prompt(id string) string { return fmt.Sprintf("a1:200,%x:100", id) }

// takingUp returns the headers with which a client takes up the rest of a stream.
func (t try) takingUp() map[string]string {
	return map[string]string{"Resumes": t.id, "Last-Event-Id": strconv.Itoa(t.last), "Prompt-Prefix": prompt(t.id)}
}

// stream sends a request for a stream to a machine and reads until its end, or until the
// caller leaves after some events (0: never).
func (m *machine) stream(path, id string, header map[string]string, leaveAfter int) try {
	ctx, leave := context.WithTimeout(context.Background(), 8*time.Second)
	defer leave()
	return m.read(ctx, path, id, header, func(events int) (on bool) { return events != leaveAfter })
}

// read sends a request for a stream and reads until its end, until on returns false after an
// event, or until ctx ends.
func (m *machine) read(ctx context.Context, path, id string, header map[string]string, on func(events int) bool) (t try) {
	t.id = id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, portFront, path), strings.NewReader("body"))
	must(err)
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", "8000")
	req.Header.Set("Model-Name", model)
	req.Header.Set("Token-Count", "300,60")
	req.Header.Set("Prompt-Prefix", prompt(id))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.wait = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	events := 0
	for lines.Scan() {
		line := lines.Text()
		if t.status != http.StatusOK {
			t.refusal += line
			continue
		}
		number, ok := strings.CutPrefix(line, "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(number)
		must(err)
		if t.first == 0 {
			t.first = n
		}
		t.last = n
		if events++; !on(events) {
			return t
		}
	}
	t.whole = lines.Err() == nil
	return t
}

// streamUntil begins a stream and calls begun.Done after some events. It reads on until the
// caller abandons the stream.
func (m *machine) streamUntil(path, id string, after int, begun *sync.WaitGroup, abandon <-chan struct{}) try {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		<-abandon
		leave()
	}()
	once := sync.OnceFunc(begun.Done)
	defer once()
	return m.read(ctx, path, id, nil, func(events int) (on bool) {
		if events == after {
			once()
		}
		return true
	})
}
