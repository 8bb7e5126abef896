package upstream

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// fakeKV is a KVClient that keeps exported blocks in memory and counts imports.
type fakeKV struct {
	mu      sync.Mutex
	stored  map[block.Hash]bool
	imports int
	down    bool
}

func (f *fakeKV) KVImport(ctx context.Context, _ string, t engine.KVTransfer) (engine.KVTransfer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.imports++
	if f.down {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return engine.KVTransfer{}, errors.New("down")
	}
	n := 0
	for n < len(t.Blocks) && f.stored[t.Blocks[n]] {
		n++
	}
	t.Blocks = t.Blocks[:n]
	return t, nil
}

func (f *fakeKV) KVExport(_ context.Context, _ string, t engine.KVTransfer) (engine.KVTransfer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range t.Blocks {
		f.stored[h] = true
	}
	return t, nil
}

func kvPools(f *fakeKV) *Pools {
	p := NewPools(Options{Seed: 1, KV: f})
	s := snapshot(20)
	s.Pool("lm").KVPool, s.Pool("lm").KVImportPerSec = "kv", 100000
	p.OnSnapshot(s)
	p.OnList(instances(external.Live, external.Live))
	for _, id := range []string{"a", "b"} {
		p.OnReport(id, engine.LoadReport{Incarnation: id + "1"})
	}
	return p
}

func longQuery() Query {
	q := query(time.Minute)
	q.Tokens, q.Blocks = 8100, []block.Hash{11, 12, 13, 14}
	return q
}

// TestKVRoundTrip guards against computed blocks that are not exported, and
// against evicted blocks that are recomputed although they could be imported.
func TestKVRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeKV{stored: map[block.Hash]bool{}}
		p := kvPools(f)
		defer p.Close()
		first, _ := p.Acquire(t.Context(), longQuery())
		first.FirstToken(0)
		first.Done(OK)
		synctest.Wait()
		if len(f.stored) != 4 {
			t.Fatalf("%d blocks exported, want 4", len(f.stored))
		}
		for _, id := range []string{"a", "b"} {
			p.OnEvents(id, engine.EventBatch{Incarnation: id + "1", Snapshot: true, Seq: 9})
		}
		second, _ := p.Acquire(t.Context(), longQuery())
		if second.Target().HitTokens != 8000 || f.imports != 1 {
			t.Errorf("%d cached tokens expected after %d imports, want 8000 after 1", second.Target().HitTokens, f.imports)
		}
		second.Done(OK)
	})
}

// TestKVFailure guards against a KV store that is down delaying every request,
// and against repeated imports of a block that the KV store has lost.
func TestKVFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeKV{stored: map[block.Hash]bool{}}
		p := kvPools(f)
		defer p.Close()
		p.OnEvents("a", engine.EventBatch{Incarnation: "a1", Snapshot: true, Seq: 1, Blocks: longQuery().Blocks})
		p.OnEvents("a", engine.EventBatch{Incarnation: "a1", Snapshot: true, Seq: 2})
		for range 2 {
			s, _ := p.Acquire(t.Context(), longQuery())
			s.Done(Cancelled)
		}
		if f.imports != 1 {
			t.Errorf("%d imports of a block that the store lacks, want 1", f.imports)
		}
		f.down = true
		p.OnEvents("a", engine.EventBatch{Incarnation: "a1", Snapshot: true, Seq: 3, Blocks: longQuery().Blocks})
		p.OnEvents("a", engine.EventBatch{Incarnation: "a1", Snapshot: true, Seq: 4})
		start := time.Now()
		for range 3 {
			s, _ := p.Acquire(t.Context(), longQuery())
			s.Done(Cancelled)
		}
		if f.imports != 2 || time.Since(start) > time.Second {
			t.Errorf("%d imports in %s while the store was down, want 1 more", f.imports, time.Since(start))
		}
	})
}
