package upstreams

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// BenchmarkPoll measures one poll of an upstream: processor time of both sides
// together, as they share the process, and bytes of the answer with headers.
func BenchmarkPoll(b *testing.B) {
	const eventsPerPoll = 32 // at 160 events a second and engine, polled every 200 ms
	batch := engine.EventBatch{Incarnation: "541c4594149dc2b7c5d0583f6f78b661", Weights: "plume-7", Seq: eventsPerPoll}
	for i := range uint64(eventsPerPoll) {
		batch.Events = append(batch.Events, engine.Event{
			Seq: i + 1, Kind: engine.Stored, Blocks: []block.Hash{block.Hash(1<<60 + i)}, Parent: block.Hash(1<<61 + i),
		})
	}
	report := engine.LoadReport{Incarnation: batch.Incarnation, Weights: "plume-7", Running: 12, QueuedTokens: 14000, CachedBlocks: 90, CapacityBlocks: 96}
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var data []byte
		if r.URL.Path == "/load" {
			data, _ = json.Marshal(report)
		} else {
			data, _ = json.Marshal(batch)
		}
		sent.Add(int64(len(data)))
		_, _ = w.Write(data)
	}))
	defer server.Close()
	client := engine.NewClient(engine.Options{})
	defer client.Close()
	addr, ctx := server.Listener.Addr().String(), context.Background()
	for name, call := range map[string]func() error{
		"report": func() error { _, err := client.Load(ctx, addr); return err },
		"events=32": func() error {
			_, err := client.Events(ctx, addr, engine.Position{Incarnation: batch.Incarnation})
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			sent.Store(0)
			before := processorTime(b)
			for b.Loop() {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(sent.Load())/float64(b.N), "body-B/op")
		})
	}
}

// processorTime returns the processor time of the process in ns.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
