package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// Attempt is one attempt to run a request on an upstream. It is returned by Pick,
// counted from Begin and ends with Done.
type Attempt struct {
	Upstream       *fleet.Upstream
	WeightsVersion int           // version of the model's weights that the upstream must have; 0: any
	CacheScope     string        // KV cache is only shared within a scope
	FetchFrom      string        // IP:port of a store or engine that may have cached more of the prompt; empty: none
	ExpectedTTFT   time.Duration // expected time to first token, including penalties
	SaveTo         string        // IP:port of a store that does not hold all of the prompt's shared parts; empty: none
	BeginBy        time.Time     // deadline for the start of the request, because its weights are being replaced; zero: none

	CachedTokens     int    // leading tokens of the prompt that the upstream is expected to have cached
	CachedAfterFetch int    // leading tokens that it has after fetching from FetchFrom; 0: it fetches none that are known
	PrefixHash       uint64 // identifies the shared parts; the same for all versions of the weights

	hasOwner       bool    // the prompt has an owner, see owners
	newTokens      float64 // tokens that are new to the upstream
	newStoreTokens float64 // tokens that are new to the store

	idleAtSend     bool   // no other prompt was pending at the upstream when it was sent
	prefillBegins  uint64 // of the upstream just after it was sent
	sentAt         time.Time
	statedAtSend   float64 // slowdown that the upstream stated when it was sent
	runningAtSend  int     // requests of all instances at the upstream, itself included
	measured       bool    // its time to the answer is recorded
	work           Work
	pendingPrefill int // prompt tokens still counted in the upstream's work
	keys           []uint64
	done           bool
}

// SharedKeys returns the keys of the prompt's shared parts, which are all but the
// last one, for the upstream's version of the weights.
func (a *Attempt) SharedKeys() []uint64 {
	if len(a.keys) == 0 {
		return nil
	}
	return a.keys[:len(a.keys)-1]
}

// NewTokens returns the number of prompt tokens that the upstream has not cached.
func (a *Attempt) NewTokens() int { return int(a.newTokens) }

// NewStoreTokens returns the number of prompt tokens that saving adds to the store.
func (a *Attempt) NewStoreTokens() int { return int(a.newStoreTokens) }

// Begin adds the work of an attempt to its upstream. It is called just before the
// request is sent. It returns false, and the request must not be sent, if the limit that
// the upstream names, or its room while it is brittle, has been used up since Pick.
func (b *Balancer) Begin(a *Attempt, now time.Time) bool {
	if !b.hasPlace(a.Upstream, now) || !b.limits.Take(processOf(a.Upstream), now) {
		return false
	}
	s := b.state(a.Upstream)
	a.sentAt, a.idleAtSend = now, s.pending() == 0
	b.advanceBacklog(s, now)
	s.own.add(a.work)
	s.capacity.RecordStart(now)
	a.statedAtSend, a.runningAtSend = s.capacity.StatedFactor(now), s.own.Requests+s.peers.Requests
	s.backlog.tokens += float64(a.work.PrefillTokens)
	a.pendingPrefill = a.work.PrefillTokens
	s.prefillBegins++
	a.prefillBegins = s.prefillBegins
	b.recordPlaced(a, now)
	b.recordDemand(a, now)
	b.prefixes.recordInsert(a.Upstream.ID, a.newTokens*b.requestWeight(a.IsLong()))
	b.prefixes.addCopies(a.keys, a.Upstream.ID, now, now.Add(a.ExpectedTTFT))
	return true
}

// IsLong reports whether the prompt is long enough to be announced to the other
// instances, because their requests would wait behind it.
func (a *Attempt) IsLong() bool { return a.work.PrefillTokens >= longPrefillTokens }

// longPrefillTokens is the number of prompt tokens to compute from which a request is
// announced to the other instances.
const longPrefillTokens = 4096

// RemainingComputeTime returns how long the upstream is still expected to compute the
// prompt's shared parts for other requests, at most maxComputeWait. A request that is
// sent earlier would make it compute them again.
func (b *Balancer) RemainingComputeTime(a *Attempt, now time.Time) time.Duration {
	ready := b.prefixes.readyAt(a.SharedKeys(), a.Upstream.ID)
	return max(0, min(ready.Sub(now), maxComputeWait))
}

// FirstToken records that the engine has computed the prompt, and whether the prompt
// was saved in the store. It returns the measured prefill speed, or 0 if the attempt
// gives no measurement.
func (b *Balancer) FirstToken(a *Attempt, saved bool, now time.Time) Speed {
	s := b.states[a.Upstream.ID]
	sample := b.measuredSpeed(a, s, now)
	b.prefixes.markComputed(a.keys, a.Upstream.ID, now)
	if s != nil {
		sample = b.recordMeasured(s, sample, now)
		b.noteCapacity(a.Upstream.ID, s, now)
		s.own.PrefillTokens -= a.pendingPrefill
		b.advanceBacklog(s, now)
	}
	a.pendingPrefill = 0
	if saved {
		b.prefixes.recordInsert(storeID, a.newStoreTokens*b.requestWeight(a.IsLong()))
		b.prefixes.markStored(a.keys, now)
	}
	return sample
}

// Announcement tells the other instances that a long prompt was sent to an upstream
// or that the upstream has computed it.
type Announcement struct {
	Upstream       string
	Keys           []uint64      // of the prompt's shared parts
	ReadyIn        time.Duration // expected time until they are computed; 0: they are computed
	NewStoreTokens int           // prompt tokens that were added to the store; 0: the prompt was not saved
	Speed          Speed         // measured with this prompt; 0: unknown
	NewTokens      int           // prompt tokens that the upstream had not cached; 0 if announced before
}

// ApplyAnnouncement records an announcement of another instance. It ignores those for
// upstreams that are not listed.
func (b *Balancer) ApplyAnnouncement(n Announcement, now time.Time) {
	u := b.view.ByID(n.Upstream)
	if u == nil {
		return
	}
	s := b.state(u)
	b.recordAnnounced(s, n.Speed, now)
	if n.ReadyIn > 0 {
		s.prefillBegins++
	}
	b.prefixes.recordInsert(n.Upstream, float64(max(0, n.NewTokens)))
	b.prefixes.addCopies(n.Keys, n.Upstream, now, now.Add(n.ReadyIn))
	if n.ReadyIn <= 0 {
		b.prefixes.markComputed(n.Keys, n.Upstream, now)
	}
	if n.NewStoreTokens > 0 {
		b.prefixes.recordInsert(storeID, float64(n.NewStoreTokens))
		b.prefixes.markStored(n.Keys, now)
	}
}

// Done ends an attempt, removes its work from the upstream and records the result.
// Further calls for the same attempt have no effect.
func (b *Balancer) Done(a *Attempt, r Result, now time.Time) {
	if a.done {
		return
	}
	a.done = true
	s := b.states[a.Upstream.ID]
	if s == nil {
		return
	}
	s.own.Requests -= a.work.Requests
	s.own.KVTokens -= a.work.KVTokens
	s.own.PrefillTokens -= a.pendingPrefill
	b.advanceBacklog(s, now)
	a.pendingPrefill = 0
	s.capacity.RecordEnd(now, concurrency.Sample{})
	switch r {
	case OK:
		b.recordDuration(a, now)
		s.health.RecordSuccess()
	case Unreachable:
		s.health.RecordUnreachable(now, &b.outlierConfig, b.rng)
		b.prefixes.removeCopies(a.keys, a.Upstream.ID)
	case Failed:
		s.health.RecordFailure(now, &b.outlierConfig, b.rng)
		b.prefixes.removeCopies(a.keys, a.Upstream.ID)
	case Refused:
		b.prefixes.removeCopies(a.keys, a.Upstream.ID)
	case Cancelled:
	}
}
