package router

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
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
		r := &chain.Request{HTTP: req, Writer: httptest.NewRecorder(), Arrived: time.Now()}
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
