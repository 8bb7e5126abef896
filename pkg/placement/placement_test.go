package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

var start = time.Unix(1000, 0)

var (
	llm    = &routing.Service{Name: "llm", Engine: &routing.Engine{Slots: 64, KVTokens: 148000, Models: []string{"m"}}}
	orders = &routing.Service{Name: "orders"}
	store  = &routing.KVStore{Addr: "10.9.9.9:80"}
)

func newBook(n int, weights int) *Balancer {
	b := NewBalancer(Config{Domain: "z0", PrefillTokensPerMS: 60, OldWeightsPeriod: 6 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	b.SetView(view(n, weights))
	return b
}

func view(n, weights int) *fleet.View {
	var list []*fleet.Upstream
	for i := range n {
		list = append(list, &fleet.Upstream{
			ID: fmt.Sprintf("e%02d", i), Service: "llm", Addr: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: fmt.Sprintf("z%d", i%4), Weights: map[string]int{"m": weights},
		}, &fleet.Upstream{ID: fmt.Sprintf("o%02d", i), Service: "orders", Slots: 6, Domain: fmt.Sprintf("z%d", i%4)})
	}
	return fleet.NewView(list)
}

func long(chain string) Query {
	return Query{
		Service: llm, Model: "m", CacheStore: store, PromptTokens: 17000, MaxTokens: 100,
		Parts: []call.PromptPart{{ID: chain, Tokens: 13000}, {ID: chain + "-own", Tokens: 4000}},
	}
}

func pick(t *testing.T, b *Balancer, now time.Time, q Query) *Attempt {
	t.Helper()
	ticket, _, err := b.Pick(now, q)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// TestInstancesAgreeOnOwners guards against a shared prompt that is computed
// once per instance.
func TestInstancesAgreeOnOwners(t *testing.T) {
	for i := range 50 {
		chain := fmt.Sprint("chain", i)
		a := pick(t, newBook(12, 1), start, long(chain))
		b := pick(t, newBook(12, 1), start, long(chain))
		if a.Upstream.ID != b.Upstream.ID {
			t.Errorf("%s: %s and %s", chain, a.Upstream.ID, b.Upstream.ID)
		}
	}
}

// TestOwnersAreSpread guards against one engine that owns many prompts.
func TestOwnersAreSpread(t *testing.T) {
	b := newBook(12, 1)
	count := map[string]int{}
	for i := range 1200 {
		count[pick(t, b, start, long(fmt.Sprint("chain", i))).Upstream.ID]++
	}
	for id, n := range count {
		if n > 200 {
			t.Errorf("%s owns %d of 1200 prompts", id, n)
		}
	}
}

// TestBusyOwnerIsAvoided guards against requests that queue behind others while
// engines are free.
func TestBusyOwnerIsAvoided(t *testing.T) {
	b := newBook(12, 1)
	used := map[string]int{}
	for i := range 12 {
		q := long("hot")
		q.Parts[1].ID = fmt.Sprint("own", i)
		ticket := pick(t, b, start, q)
		b.Begin(ticket, start)
		used[ticket.Upstream.ID]++
	}
	if len(used) < 3 {
		t.Errorf("12 prompts at once went to %d engines", len(used))
	}
}

// TestHeldPromptGoesBack guards against computing again what an engine keeps.
func TestHeldPromptGoesBack(t *testing.T) {
	b := newBook(12, 1)
	first := pick(t, b, start, long("c"))
	b.Begin(first, start)
	b.FirstToken(first, true, start.Add(300*time.Millisecond))
	b.Done(first, OK, start.Add(time.Second))
	again := pick(t, b, start.Add(2*time.Second), long("c"))
	if again.Upstream != first.Upstream || again.CachedTokens != 17000 || again.SaveTo != "" {
		t.Errorf("got %+v", again)
	}
}

// TestPlacementOfOthersIsUsed guards against an instance that computes a prompt
// again because it was another one that sent it.
func TestPlacementOfOthersIsUsed(t *testing.T) {
	a, b := newBook(12, 1), newBook(12, 1)
	// a places it away from the owner, which is busy.
	owner := pick(t, a, start, long("c"))
	a.SetBusyUntil(owner.Upstream.ID, start.Add(time.Second))
	sent := pick(t, a, start, long("c"))
	a.Begin(sent, start)
	b.ApplyAnnouncement(Announcement{Upstream: sent.Upstream.ID, Keys: sent.SharedKeys(), NewStoreTokens: 17000}, start)
	got := pick(t, b, start.Add(time.Second), long("c"))
	if got.Upstream.ID != sent.Upstream.ID || got.CachedTokens != 13000 || got.SaveTo != "" {
		t.Errorf("got %+v", got)
	}
}

// TestIdleEngineFetchesFromBusyOne guards against a prompt that waits behind
// others, or is computed again, while its parts can be moved to an idle engine.
func TestIdleEngineFetchesFromBusyOne(t *testing.T) {
	engine := *llm.Engine
	engine.TokenBytes, engine.LinkMbps = 163840, 1_100_000
	service := &routing.Service{Name: "llm", Engine: &engine}
	ask := func(chain, own string) Query {
		q := long(chain)
		q.Service, q.CacheStore = service, nil
		q.Parts[1].ID = own
		return q
	}
	b := newBook(12, 1)
	keeper := pick(t, b, start, ask("c", "first"))
	b.Begin(keeper, start)
	now := start.Add(300 * time.Millisecond)
	b.FirstToken(keeper, false, now)
	b.Done(keeper, OK, now)
	other := ask("other", "other")
	other.Exclude = func(id string) bool { return id != keeper.Upstream.ID }
	b.Begin(pick(t, b, now, other), now)
	got := pick(t, b, now, ask("c", "second"))
	if got.Upstream == keeper.Upstream || got.FetchFrom != keeper.Upstream.Addr || got.CachedAfterFetch != 13000 {
		t.Errorf("goes to %s, fetches %d tokens from %q", got.Upstream.ID, got.CachedAfterFetch, got.FetchFrom)
	}
	b.SetView(view(12, 2)) // the keeper's weights were replaced
	if got := pick(t, b, now, ask("c", "third")); got.CachedAfterFetch != 0 {
		t.Errorf("fetches %d tokens of other weights from %q", got.CachedAfterFetch, got.FetchFrom)
	}
}

// TestPartsMakeRoomForNewOnes guards against requests that follow a prompt to an
// engine which has dropped it, whichever instance sent what came after it.
func TestPartsMakeRoomForNewOnes(t *testing.T) {
	for name, bring := range map[string]func(b *Balancer, id string, i int){
		"own requests": func(b *Balancer, id string, i int) {
			q := long(fmt.Sprint("new", i))
			q.Exclude = func(other string) bool { return other != id }
			ticket, _, err := b.Pick(start, q)
			if err != nil {
				t.Fatal(err)
			}
			b.Begin(ticket, start)
			b.FirstToken(ticket, false, start)
			b.Done(ticket, OK, start)
		},
		"requests of another instance": func(b *Balancer, id string, i int) {
			b.ApplyAnnouncement(Announcement{Upstream: id, Keys: []uint64{uint64(i)}, NewTokens: 17000}, start)
		},
	} {
		b := newBook(12, 1)
		keeper := pick(t, b, start, long("c"))
		b.Begin(keeper, start)
		b.FirstToken(keeper, false, start)
		b.Done(keeper, OK, start)
		held := 0
		for held = 0; held < 100; held++ {
			q := long("c")
			q.CacheStore = nil
			q.Exclude = func(other string) bool { return other != keeper.Upstream.ID }
			if pick(t, b, start, q).CachedTokens == 0 {
				break
			}
			bring(b, keeper.Upstream.ID, held)
		}
		if held < 6 || held > 9 { // 148,000 tokens in all, 17,000 each
			t.Errorf("%s: the prompt is expected to be kept for %d others", name, held)
		}
	}
}

// TestSharedPartsAreComputedOnce guards against a second request that makes an
// engine compute shared parts while it does so for the first.
func TestSharedPartsAreComputedOnce(t *testing.T) {
	a, b := newBook(12, 1), newBook(12, 1)
	first := pick(t, a, start, long("c"))
	if a.RemainingComputeTime(first, start) != 0 {
		t.Error("the first request waits")
	}
	a.Begin(first, start)
	b.ApplyAnnouncement(Announcement{Upstream: first.Upstream.ID, Keys: first.SharedKeys(), ReadyIn: first.ExpectedTTFT}, start)
	for name, book := range map[string]*Balancer{"same instance": a, "other instance": b} {
		second := pick(t, book, start, long("c"))
		wait := book.RemainingComputeTime(second, start)
		if second.Upstream.ID != first.Upstream.ID || wait != first.ExpectedTTFT {
			t.Errorf("%s: goes to %s after %v", name, second.Upstream.ID, wait)
		}
	}
	now := start.Add(100 * time.Millisecond)
	a.FirstToken(first, false, now)
	b.ApplyAnnouncement(Announcement{Upstream: first.Upstream.ID, Keys: first.SharedKeys()}, now)
	for name, book := range map[string]*Balancer{"same instance": a, "other instance": b} {
		if wait := book.RemainingComputeTime(pick(t, book, now, long("c")), now); wait != 0 {
			t.Errorf("%s: waits %v for parts that are computed", name, wait)
		}
	}
}

// TestIsolationAndWeightsSeparateCaches guards against a scope that two
// customers or two versions share.
func TestIsolationAndWeightsSeparateCaches(t *testing.T) {
	scopes := map[string]string{}
	for _, isolated := range []string{"", "a", "b", "a/1"} {
		for weights := 1; weights <= 12; weights++ {
			scope := cacheScope(isolated, weights)
			if other, ok := scopes[scope]; ok {
				t.Errorf("%s/%d shares the scope of %s", isolated, weights, other)
			}
			scopes[scope] = fmt.Sprint(isolated, "/", weights)
		}
	}
}

// TestReplacedWeightsAreLeftInTime guards against requests that begin on weights
// which were replaced too long ago, also when newer ones were named since.
func TestReplacedWeightsAreLeftInTime(t *testing.T) {
	b := newBook(2, 1)
	b.SetTargetVersion("m", 2, start)
	b.SetTargetVersion("m", 3, start.Add(4*time.Second))
	b.RecordWeights("e00", "m", 2, start)
	for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
		ticket, _, err := b.Pick(start.Add(at), long(fmt.Sprint("c", at)))
		switch {
		case err == nil && ticket.WeightsVersion == 1 && at > 6*time.Second:
			t.Fatalf("version 1 is used %v after version 2 was named", at)
		case err == nil && ticket.WeightsVersion == 2 && at > 10*time.Second:
			t.Fatalf("version 2 is used %v after version 3 was named", at-4*time.Second)
		case err == nil && ticket.BeginBy.IsZero():
			t.Fatal("no time is set by which a request on replaced weights must begin")
		case err != nil && at < 4*time.Second:
			t.Fatalf("refused at %v: %v", at, err)
		}
	}
}

// TestRefusedVersionLeadsToTheNext guards against asking an engine for a version
// that it does not have yet.
func TestRefusedVersionLeadsToTheNext(t *testing.T) {
	b := newBook(1, 1)
	for version := 2; version <= 4; version++ {
		b.SetTargetVersion("m", version, start)
	}
	b.RecordWeightsMismatch("e00", "m", 1)
	b.RecordWeightsMismatch("e00", "m", 1) // of another request, sent before
	e := b.view.ByID("e00")
	if got := b.WeightsVersion(e, "m"); got != 2 {
		t.Errorf("expects version %d after a refusal of 1", got)
	}
	b.SetView(view(1, 1)) // a newer listing
	if got := b.WeightsVersion(b.view.ByID("e00"), "m"); got != 1 {
		t.Errorf("a guess outlives a newer listing: %d", got)
	}
	b.RecordWeights("e00", "m", 3, start)
	b.RecordWeights("e00", "m", 2, start) // late
	if got := b.WeightsVersion(b.view.ByID("e00"), "m"); got != 3 {
		t.Errorf("version %d after 3 was seen", got)
	}
}

// TestListingDecidesInTheEnd guards against an upstream that is asked for ever for
// weights which a late order took away after a restart.
func TestListingDecidesInTheEnd(t *testing.T) {
	b := newBook(1, 1)
	e := b.view.ByID("e00")
	b.RecordWeights("e00", "m", 2, start)
	b.RecordWeights("e00", "m", 2, start.Add(2*time.Second)) // shown again
	b.SetView(view(1, 1))
	b.ExpireObservedWeights(start.Add(4 * time.Second))
	if got := b.WeightsVersion(e, "m"); got != 2 {
		t.Errorf("version %d, 2 was shown two seconds ago", got)
	}
	b.ExpireObservedWeights(start.Add(6 * time.Second))
	if got := b.WeightsVersion(e, "m"); got != 2 {
		t.Errorf("version %d by a listing from before", got)
	}
	b.SetView(view(1, 1))
	b.ExpireObservedWeights(start.Add(6 * time.Second))
	if got := b.WeightsVersion(e, "m"); got != 1 {
		t.Errorf("version %d, listed as 1 and not shown for four seconds", got)
	}
}

// TestNobodyTakesWork guards against a refusal without the time to come back.
func TestNobodyTakesWork(t *testing.T) {
	b := newBook(1, 1)
	b.SetBusyUntil("e00", start.Add(100*time.Millisecond))
	_, _, err := b.Pick(start, long("c"))
	var none *NoUpstreamError
	if !errors.As(err, &none) || none.RetryAfter != 100*time.Millisecond {
		t.Errorf("got %v", err)
	}
}

// TestPlainRequestsAreSpread guards against one upstream that gets all plain
// requests, and against one that fails getting more.
func TestPlainRequestsAreSpread(t *testing.T) {
	b := newBook(4, 1)
	count := map[string]int{}
	for range 24 {
		ticket := pick(t, b, start, Query{Service: orders})
		b.Begin(ticket, start)
		count[ticket.Upstream.ID]++
	}
	for id, n := range count {
		if n > 10 {
			t.Errorf("%s got %d of 24", id, n)
		}
	}
	failing := pick(t, b, start, Query{Service: orders})
	b.Begin(failing, start)
	b.Done(failing, Unreachable, start)
	for range 20 {
		if ticket := pick(t, b, start.Add(time.Millisecond), Query{Service: orders}); ticket.Upstream == failing.Upstream {
			t.Fatal("an unreachable upstream is chosen again at once")
		}
	}
}

// TestCountsReturnToZero guards against work that is counted for ever, whatever
// the order of events.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook(5, 1)
		var open []*Attempt
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				ticket, _, err := b.Pick(now, long(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "chain")))
				if err == nil {
					b.Begin(ticket, now)
					open = append(open, ticket)
				}
			case 2:
				if len(open) > 0 {
					b.FirstToken(open[0], true, now)
				}
			case 3:
				if len(open) > 0 {
					b.Done(open[0], Result(rapid.IntRange(0, 4).Draw(t, "result")), now)
					b.Done(open[0], Failed, now) // a second end counts not
					open = open[1:]
				}
			case 4:
				b.SetView(view(5, rapid.IntRange(1, 3).Draw(t, "weights")))
			}
		}
		for _, ticket := range open {
			b.Done(ticket, Cancelled, now)
		}
		if own := b.OwnWork(); len(own) != 0 {
			t.Fatalf("still counted: %v", own)
		}
	})
}

// BenchmarkPick measures one choice of an engine among n.
func BenchmarkPick(bench *testing.B) {
	for _, n := range []int{12, 71, 2800} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			b := newBook(n, 1)
			for i := 0; bench.Loop(); i++ {
				ticket, _, err := b.Pick(start, long(fmt.Sprint("c", i%100)))
				if err != nil {
					bench.Fatal(err)
				}
				b.Begin(ticket, start)
				b.Done(ticket, OK, start)
			}
		})
	}
}
