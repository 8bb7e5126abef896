package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/filter/route"
)

// BenchmarkStreamMemory measures the memory that an open stream takes in the
// router. The streams stay open, so there is nothing to repeat.
func BenchmarkStreamMemory(b *testing.B) {
	_, router := streamMemory(b, 1000)
	for b.Loop() {
	}
	b.ReportMetric(float64(router)/1024, "KiB/stream")
}

// BenchmarkChain measures the filters alone, without network, for a prompt of
// about 8,000 tokens.
func BenchmarkChain(b *testing.B) {
	p := Parts{
		State: newState(), Limiter: &limiter{}, Orders: directOrders{}, Client: answering{}, Metrics: &metrics{},
		Pools: &pools{targets: map[string][]chain.Target{"plume": {{ID: "e"}}}},
	}
	handler := Chain(p, DefaultOptions("rennes"))
	b.ReportAllocs()
	for b.Loop() {
		req := httptest.NewRequest(http.MethodPost, route.ChatPath, bytes.NewReader([]byte(longBody)))
		req.Header.Set("Authorization", "Bearer "+testKey)
		r := &chain.Request{HTTP: req, Writer: httptest.NewRecorder(), ReceivedAt: time.Now()}
		if err := handler(context.Background(), r); err != nil {
			b.Fatal(err)
		}
	}
}

// answering is a client that answers every request at once.
type answering struct{}

// Do implements relay.Client.
func (answering) Do(_ context.Context, _ string, req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	(&engineFake{}).ServeHTTP(w, req)
	return w.Result(), nil
}

// BenchmarkStreamEvent measures the processor time of one relayed event: that
// of a long stream through the router less that of a direct one.
func BenchmarkStreamEvent(b *testing.B) {
	const events = 2000
	upstream := &engineFake{words: events}
	server := httptest.NewServer(upstream)
	defer server.Close()
	in := start(b, map[string][]http.Handler{"plume": {upstream}}, nil)
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	used := func(url string) int64 {
		before := processorTime(b)
		resp := post(b, c, url, streamBody)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return processorTime(b) - before
	}
	var direct, router int64
	for b.Loop() {
		direct += used(server.URL)
		router += used(in.url)
	}
	b.ReportMetric(float64(router-direct)/float64(b.N)/events, "cpu-ns/event")
}

// processorTime returns the processor time of the process in ns.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
