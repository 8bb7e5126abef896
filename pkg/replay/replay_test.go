package replay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fair"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// record drives a pool with random requests, reports, events and failures and
// returns the trace.
func record(t *testing.T, seed uint64) []byte {
	t.Helper()
	var out bytes.Buffer
	recorder := NewRecorder(&out)
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Now()
	core, err := upstream.NewScheduler(now, upstream.Settings{
		Pool:     config.Pool{Name: "plume", Kind: config.Model, MaxInFlight: 2, BlockTokens: 2000, PrefillPerSec: 20000, KVPool: "memoire", KVImportPerSec: 200000},
		Queue:    fair.DefaultLimits,
		MaxQueue: upstream.DefaultMaxQueue,
		Coalesce: true, KVTransfer: true, Seed: seed,
	})
	if err != nil {
		t.Fatal(err)
	}
	core.Record(now, recorder)
	core.OnExport(func(upstream.Transfer) {})
	core.OnMove(func(*upstream.Grant) bool { return rng.IntN(2) == 0 })
	var engines []external.Instance
	for i := range 4 {
		engines = append(engines, external.Instance{ID: fmt.Sprint("e", i), Addr: fmt.Sprint("127.0.0.1:", 7000+i), Pool: "plume", State: external.Live})
	}
	core.OnList(now, engines)
	var waits []*upstream.Waiter
	for step := range 400 {
		now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
		id := engines[rng.IntN(len(engines))].ID
		switch rng.IntN(8) {
		case 0, 1, 2:
			blocks := []block.Hash{1, 2, block.Hash(10 + rng.IntN(3))}
			waits = append(waits, core.Submit(now, &upstream.Query{
				Pool: "plume", Customer: fmt.Sprint("c", rng.IntN(3)), Weight: 1, Tokens: 6500, MaxOutput: 50,
				Blocks: blocks, Deadline: now.Add(2 * time.Second),
			}, func(*upstream.Waiter) {}))
		case 3:
			core.OnReport(now, id, &engine.LoadReport{Incarnation: "1", Running: rng.IntN(3), QueuedTokens: rng.IntN(9000), Age: 20 * time.Millisecond})
		case 4:
			core.OnEvents(now, id, &engine.EventBatch{Incarnation: "1", Snapshot: true, Seq: uint64(step), Blocks: []block.Hash{1, 2}})
		case 5:
			core.Tick(now)
		default:
			waits = finish(core, now, rng, waits)
		}
	}
	if err := recorder.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// finish ends one random request.
func finish(core *upstream.Scheduler, now time.Time, rng *rand.Rand, waits []*upstream.Waiter) []*upstream.Waiter {
	if len(waits) == 0 {
		return waits
	}
	i := rng.IntN(len(waits))
	w := waits[i]
	switch {
	case w.Grant != nil:
		core.FirstToken(now, w.Grant, 4000)
		core.Done(now, w.Grant, upstream.Result(rng.IntN(4)))
	case w.Err == nil:
		core.Expire(w)
	}
	return append(waits[:i], waits[i+1:]...)
}

// TestRecordedTrace guards against decisions that depend on anything but the
// recorded inputs, such as the clock, map order or a shared random source.
func TestRecordedTrace(t *testing.T) {
	for seed := range uint64(5) {
		report, err := Run(bytes.NewReader(record(t, seed)))
		if err != nil {
			t.Fatal(err)
		}
		if len(report.Mismatches) > 0 || report.Outcomes < 50 {
			t.Errorf("seed %d: %d outcomes, mismatches %v", seed, report.Outcomes, report.Mismatches)
		}
	}
}

// TestMismatch guards against a replay that passes whatever the trace states.
func TestMismatch(t *testing.T) {
	trace := strings.Replace(string(record(t, 1)), `"upstream":"e1","hit_tokens"`, `"upstream":"other","hit_tokens"`, 1)
	report, err := Run(strings.NewReader(trace))
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Mismatches) != 1 {
		t.Errorf("got %v, want one mismatch", report.Mismatches)
	}
}

// TestTraces replays the traces of failures found, which testdata keeps.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			file, err := os.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = file.Close() }()
			report, err := Run(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range report.Mismatches {
				t.Error(m)
			}
			if report.Outcomes == 0 {
				t.Error("the trace states no outcome")
			}
		})
	}
}

// FuzzRun guards against a trace file that crashes the replay.
func FuzzRun(f *testing.F) {
	f.Add([]byte(`{"fresh":{"at":0,"kind":"start","instance":"a"}}`))
	f.Add([]byte(`{"quota":{"at":0,"kind":"start","instance":"a"}}`))
	f.Add([]byte(`{"pool":{"at":0,"kind":"submit","pool":"p"}}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Run(bytes.NewReader(data)) })
}
