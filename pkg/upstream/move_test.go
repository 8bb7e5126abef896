package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// TestMove guards against a short request that stays queued behind another
// instance's long prefill while an engine is idle, against moves after the
// first token, and against moving a request without limit.
func TestMove(t *testing.T) {
	for name, c := range map[string]struct {
		moves, queued int
		first, want   bool
	}{
		"stuck":             {queued: 12000, want: true},
		"little ahead":      {queued: 2000},
		"answer has begun":  {queued: 12000, first: true},
		"moved often":       {queued: 12000, moves: maxMoves},
		"only its own work": {queued: 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPools(20, external.Live, external.Live)
				for _, id := range []string{"a", "b"} {
					p.OnReport(id, engine.LoadReport{Incarnation: "1"})
				}
				q := query(time.Minute)
				q.Moves = c.moves
				s, err := p.Acquire(t.Context(), q)
				if err != nil {
					t.Fatal(err)
				}
				moved := 0
				s.OnMove(func() { moved++ })
				time.Sleep(30 * time.Millisecond)
				if c.first {
					s.FirstToken(0)
				}
				report := engine.LoadReport{Incarnation: "1", Running: 2, QueuedTokens: c.queued}
				p.OnReport(s.Target().ID, report)
				p.OnReport(s.Target().ID, report)
				if got := moved == 1; got != c.want {
					t.Errorf("moved %d times, want %v", moved, c.want)
				}
				s.Done(Cancelled)
			})
		})
	}
}

// TestLongPrefillNotMoved guards against withdrawing a long prefill because of
// requests that arrived after it.
func TestLongPrefillNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPools(20, external.Live, external.Live)
		for _, id := range []string{"a", "b"} {
			p.OnReport(id, engine.LoadReport{Incarnation: "1"})
		}
		q := query(time.Minute)
		q.Tokens, q.Blocks = 8100, []block.Hash{11, 12, 13, 14}
		s, err := p.Acquire(t.Context(), q)
		if err != nil {
			t.Fatal(err)
		}
		s.OnMove(func() { t.Error("moved although its prefill is running") })
		time.Sleep(200 * time.Millisecond)
		p.OnReport(s.Target().ID, engine.LoadReport{Incarnation: "1", Running: 2, QueuedTokens: 24100})
		s.Done(OK)
	})
}
