package endpoint

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/prompt"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// fakeSlot is a slot from which a test can withdraw the request.
type fakeSlot struct {
	id   string
	move func()
	done []upstream.Result
}

func (s *fakeSlot) Target() chain.Target   { return chain.Target{ID: s.id} }
func (s *fakeSlot) FirstToken(int)         {}
func (s *fakeSlot) OnMove(f func())        { s.move = f }
func (s *fakeSlot) Done(r upstream.Result) { s.done = append(s.done, r) }

// fakePools returns slots on upstream a, or on upstream b if a is excluded.
type fakePools struct {
	slots   []*fakeSlot
	queries []upstream.Query
	full    bool // b has no free slot
}

func (p *fakePools) Acquire(_ context.Context, q upstream.Query) (Slot, error) {
	p.queries = append(p.queries, q)
	s := &fakeSlot{id: "a"}
	if slices.Contains(q.Exclude, "a") {
		if p.full {
			return nil, code.New(code.NoUpstream, "none")
		}
		s.id = "b"
	}
	p.slots = append(p.slots, s)
	return s, nil
}

func modelRequest(kind config.Kind) *chain.Request {
	return &chain.Request{
		Application: &config.Application{Kind: kind}, Pool: &config.Pool{Name: "lm"},
		Prompt: &prompt.Prompt{}, Deadline: time.Now().Add(time.Hour),
	}
}

// TestMove guards against a moved request that ends with an error, keeps its
// first slot, counts as a failure of the upstream, or is lost because the other
// upstream has no free slot any more.
func TestMove(t *testing.T) {
	for _, full := range []bool{false, true} {
		pools := &fakePools{full: full}
		f := New(pools, "d", 1, time.Now)
		calls := 0
		err := f.Wrap(func(ctx context.Context, _ *chain.Request) error {
			if calls++; calls > 1 {
				return nil
			}
			pools.slots[0].move()
			<-ctx.Done()
			return ctx.Err()
		})(t.Context(), modelRequest(config.Model))
		last := pools.slots[len(pools.slots)-1]
		want := "b"
		if full {
			want = "a"
		}
		if err != nil || last.id != want || pools.queries[len(pools.queries)-1].Moves != 1 {
			t.Fatalf("full %v: served by %s: %v", full, last.id, err)
		}
		if pools.slots[0].done[0] != upstream.Cancelled || last.done[0] != upstream.OK {
			t.Errorf("full %v: results %v and %v", full, pools.slots[0].done, last.done)
		}
	}
}

// TestNoMove guards against moving a call that is not idempotent, and against
// retrying a request on another upstream when it is moved after its stream has
// started.
func TestNoMove(t *testing.T) {
	pools := &fakePools{}
	f := New(pools, "d", 1, time.Now)
	err := f.Wrap(func(context.Context, *chain.Request) error { return nil })(t.Context(), modelRequest(config.Service))
	if err != nil || pools.slots[0].move != nil {
		t.Errorf("a call of a plain service can be moved: %v", err)
	}
	err = f.Wrap(func(ctx context.Context, r *chain.Request) error {
		r.Outcome.Sent, r.Outcome.ResponseStarted = true, true
		pools.slots[1].move()
		return code.New(code.StreamTruncated, "cut")
	})(t.Context(), modelRequest(config.Model))
	if err == nil || len(pools.slots) != 2 {
		t.Errorf("the request was retried after its response had started: %v", err)
	}
}
