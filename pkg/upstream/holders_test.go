package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fair"
	"github.com/fescuestep/fescuestep/pkg/pick"
)

func shardedScheduler(t *testing.T, now time.Time) *Scheduler {
	pool := config.Pool{Name: "plume", Kind: config.Model, MaxInFlight: 8, PrefillPerSec: 20000, BlockTokens: 2000}
	s, err := NewScheduler(now, Settings{Pool: pool, Queue: fair.DefaultLimits, MaxQueue: DefaultMaxQueue, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	var list []external.Instance
	for i := range 40 {
		list = append(list, external.Instance{ID: fmt.Sprintf("e%02d", i), Addr: "a", Pool: "plume", State: external.Live})
	}
	s.OnList(now, list)
	return s
}

// TestChoiceFromHolders guards against choices that ignore the holders returned
// by a lookup in the sharded index, that trust an older incarnation because the
// shard owner learned of the restart late, or that send requests to a leaving
// engine, and against rejecting a request whose lookup got no answer.
func TestChoiceFromHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	blocks := []block.Hash{1, 2, 3, 4}
	holder := func(id, incarnation string, source uint32, queued int, leaving bool) pick.Holder {
		return pick.Holder{
			ID: id, Incarnation: incarnation, HeldBlocks: 4, ExpectedBlocks: 4, Epoch: pick.Epoch{Revision: 5, IncarnationNumber: source},
			Load: &pick.HolderLoad{Age: 100 * time.Millisecond, QueuedTokens: queued, Leaving: leaving},
		}
	}
	for _, x := range []struct {
		name    string
		earlier []pick.Holder // holders returned for an earlier request
		probed  string        // incarnation of e07 in a report read just before
		holders []pick.Holder
		want    string // empty for any engine without cached tokens
	}{
		{"holder", nil, "", []pick.Holder{holder("e07", "1", 1, 0, false)}, "e07"},
		{"less loaded of two", nil, "", []pick.Holder{holder("e07", "1", 1, 30000, false), holder("e09", "1", 1, 0, false)}, "e09"},
		{"owner that learned of a restart late", []pick.Holder{holder("e07", "2", 2, 0, false)}, "", []pick.Holder{holder("e07", "1", 1, 0, false)}, ""},
		{"newer incarnation", []pick.Holder{holder("e07", "1", 1, 0, false)}, "", []pick.Holder{holder("e07", "2", 2, 0, false)}, "e07"},
		{"leaving", nil, "", []pick.Holder{holder("e07", "1", 1, 0, true)}, ""},
		{"no longer listed", nil, "", []pick.Holder{holder("gone", "1", 1, 0, false)}, ""},
		{"probe after the owner's report", nil, "2", []pick.Holder{holder("e07", "1", 1, 0, false)}, ""},
		{"lookup without an answer", nil, "", nil, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := shardedScheduler(t, now)
			if x.probed != "" {
				s.OnReport(now, "e07", &engine.LoadReport{Incarnation: x.probed})
			}
			if x.earlier != nil {
				q := Query{Pool: "plume", Customer: "a", Weight: 1, Tokens: 8000, Blocks: blocks, Sharded: true, Holders: x.earlier}
				s.Done(now, s.Submit(now, &q, func(*Waiter) {}).Grant, OK)
			}
			q := Query{Pool: "plume", Customer: "a", Weight: 1, Tokens: 8000, Blocks: blocks, Sharded: true, Holders: x.holders}
			w := s.Submit(now, &q, func(*Waiter) {})
			if w.Grant == nil {
				t.Fatalf("refused: %v", w.Err)
			}
			got := w.Grant.choice
			switch {
			case x.want == "" && got.HitTokens > 1:
				t.Errorf("%s is expected to have %d tokens cached", got.Upstream.ID, got.HitTokens)
			case x.want != "" && (got.Upstream.ID != x.want || got.HitTokens < 7999):
				t.Errorf("chose %s with %d cached tokens, want %s", got.Upstream.ID, got.HitTokens, x.want)
			}
			if x.name == "leaving" && got.Upstream.ID == "e07" {
				t.Error("chose a leaving engine")
			}
			s.FirstToken(now, w.Grant, 0)
			if n := s.store.Index.Len(); n != 0 {
				t.Errorf("%d entries in this instance's index, which nothing would remove", n)
			}
		})
	}
}
