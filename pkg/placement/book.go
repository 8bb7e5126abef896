// Package placement decides which upstream gets a request. It weighs the time
// until the first token: work queued at an engine, the part of the prompt that
// it must compute, moves of KV cache, memory, and the version of its weights.
// It does no I/O and is not safe for concurrent use; times are arguments.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	OK          Result = iota
	Refused            // the upstream did not run the request
	Unreachable        // no connection
	Failed             // a failure after the request was sent
	Cancelled          // given up by the caller or the instance
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"ok", "refused", "unreachable", "failed", "cancelled"}[r]
}

// Work is the load of one upstream by the requests of one instance.
type Work struct {
	Requests int // running or queued
	Prefill  int // prompt tokens still to be computed
	Memory   int // tokens of KV cache held by running requests
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.Prefill += o.Prefill
	w.Memory += o.Memory
}

// reportMaxAge is how long the load that an upstream states in an answer says
// something about the present.
const reportMaxAge = 400 * time.Millisecond

// state is what is known of one upstream beyond its listing.
type state struct {
	own        Work
	peers      Work
	backlog    backlog
	observed   observed
	weights    map[string]seenWeights // by model
	report     call.Load
	reportedAt time.Time
	health     retry.Outlier
	busyUntil  time.Time // takes no work, for example while it loads weights
	born       int64
}

// seenWeights is a version that is known beyond the listing.
type seenWeights struct {
	version int
	sure    bool // stated by the upstream or by the instance that had it loaded
	at      time.Time
}

// Book keeps the state of all upstreams.
type Book struct {
	cfg     Config
	rng     *rand.Rand
	view    *fleet.View
	states  map[string]*state
	holders *holders
	wanted  map[string][]wanted // by model, in the order of versions
	outlier retry.OutlierConfig
	speed   Speed // mean of all engines

	relisted  bool      // the listing is newer than listedAt
	listedAt  time.Time // when the listing was last renewed; it is not while the store is away
	instances int       // of the fleet
}

// wanted is a version that was named for a model.
type wanted struct {
	version int
	since   time.Time
}

// maxWanted bounds the named versions that are remembered per model. Older ones
// than these must have been left long ago.
const maxWanted = 16

// maxComputing bounds the wait for shared parts that are being computed.
const maxComputing = 600 * time.Millisecond

// Config holds the figures of placement.
type Config struct {
	Domain string // failure domain of this instance
	// PrefillPerMS is the number of prompt tokens that an engine is assumed to
	// compute in a millisecond before any was seen to.
	PrefillPerMS float64
	// WeightsApply is how long after a version was named requests may still
	// begin on an older one.
	WeightsApply time.Duration
}

// DefaultPrefillPerMS is assumed of engines, whose speed nothing states.
const DefaultPrefillPerMS = 60

// NewBook returns a book without upstreams.
func NewBook(cfg Config, rng *rand.Rand) *Book {
	return &Book{
		cfg: cfg, rng: rng, speed: Speed(cfg.PrefillPerMS),
		view:    fleet.NewView(nil),
		states:  map[string]*state{},
		holders: newHolders(),
		wanted:  map[string][]wanted{},
		outlier: retry.OutlierConfig{Consecutive: 3, Base: time.Second, Max: 4 * time.Second, SlowStart: 0},
	}
}

// SetView replaces the listed upstreams. The state of one that is no longer
// listed is forgotten, as is that of one that restarted under its ID.
func (b *Book) SetView(v *fleet.View) {
	defer func() { b.view, b.relisted = v, true }()
	for id, s := range b.states {
		u := v.ByID(id)
		if u == nil {
			delete(b.states, id)
			b.holders.forget(id)
			continue
		}
		if listed := b.view.ByID(id); listed != nil && listed != u {
			s.dropGuesses()
		}
		if s.born != u.Born {
			// Requests under way keep their counts until they end.
			own, peers := s.own, s.peers
			*s = state{own: own, peers: peers, born: u.Born}
			b.holders.forget(id)
		}
	}
}

// dropGuesses forgets versions that the upstream did not state, after a newer
// listing.
func (s *state) dropGuesses() {
	for model, seen := range s.weights {
		if !seen.sure {
			delete(s.weights, model)
		}
	}
}

// SetWanted records a version that a model's weights must reach. Versions below
// the highest known one are ignored.
func (b *Book) SetWanted(model string, version int, now time.Time) bool {
	list := b.wanted[model]
	if len(list) > 0 && version <= list[len(list)-1].version {
		return false
	}
	list = append(list, wanted{version: version, since: now})
	if len(list) > maxWanted {
		list = list[1:]
	}
	b.wanted[model] = list
	return true
}

// Wanted returns the version that a model's weights must reach; 0: none named.
func (b *Book) Wanted(model string) int {
	list := b.wanted[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// nextWanted returns the first named version above the given one.
func (b *Book) nextWanted(model string, version int) (wanted, bool) {
	for _, w := range b.wanted[model] {
		if w.version > version {
			return w, true
		}
	}
	return wanted{}, false
}

func (b *Book) state(u *fleet.Upstream) *state {
	s := b.states[u.ID]
	if s == nil {
		s = &state{born: u.Born}
		b.states[u.ID] = s
	}
	return s
}

// Weights returns the version that an upstream has of a model: the higher of
// its listing and what answers showed, since versions only increase.
func (b *Book) Weights(u *fleet.Upstream, model string) int {
	version := u.Weights[model]
	if s := b.states[u.ID]; s != nil {
		version = max(version, s.weights[model].version)
	}
	return version
}

// SawWeights records the version that an upstream or the instance that had it
// loaded stated.
func (b *Book) SawWeights(id, model string, version int, now time.Time) {
	u := b.view.ByID(id)
	if u == nil {
		return
	}
	s := b.state(u)
	seen := s.weights[model]
	if seen.sure && version == seen.version {
		s.weights[model] = seenWeights{version, true, now}
		return
	}
	if version < u.Weights[model] || (seen.sure && version < seen.version) {
		return
	}
	b.setWeights(u, model, seenWeights{version, true, now})
}

// SettleWeights lets the listing of an upstream decide over a higher version that
// it showed and has not shown for a while: an order that was carried out late,
// after a restart, brings older weights back.
func (b *Book) SettleWeights(now time.Time) {
	if b.relisted {
		b.listedAt, b.relisted = now, false
	}
	for id, s := range b.states {
		u := b.view.ByID(id)
		if u == nil {
			continue
		}
		for model, seen := range s.weights {
			if seen.sure && u.Weights[model] < seen.version && b.listedAt.Sub(seen.at) > fleet.ListingLag {
				delete(s.weights, model)
				b.holders.forget(id)
			}
		}
	}
}

// WeightsDiffer records that an upstream refused a version: it has been brought
// to a later one, most likely to the next that was named.
func (b *Book) WeightsDiffer(id, model string, refused int) {
	u := b.view.ByID(id)
	if u == nil || b.Weights(u, model) != refused {
		return
	}
	if next, ok := b.nextWanted(model, refused); ok {
		b.setWeights(u, model, seenWeights{version: next.version})
	}
}

// setWeights replaces what is known; the engine's load dropped what it kept.
func (b *Book) setWeights(u *fleet.Upstream, model string, seen seenWeights) {
	s := b.state(u)
	if s.weights == nil {
		s.weights = map[string]seenWeights{}
	}
	s.weights[model] = seen
	b.holders.forget(u.ID)
}

// SetBusy keeps work away from an upstream until a time.
func (b *Book) SetBusy(id string, until time.Time) {
	if u := b.view.ByID(id); u != nil {
		b.state(u).busyUntil = until
	}
}

// SawLoad records the load that an upstream stated.
func (b *Book) SawLoad(id string, load call.Load, now time.Time) {
	if u := b.view.ByID(id); u != nil {
		s := b.state(u)
		s.report, s.reportedAt = load, now
	}
}

// Own returns the work that this instance has at each upstream.
func (b *Book) Own() map[string]Work {
	out := map[string]Work{}
	for id, s := range b.states {
		if s.own != (Work{}) {
			out[id] = s.own
		}
	}
	return out
}

// Load returns the work of all instances at an upstream.
func (b *Book) Load(id string) Work {
	s := b.states[id]
	if s == nil {
		return Work{}
	}
	total := s.own
	total.add(s.peers)
	return total
}

// Waits returns how long the requests that wait at an upstream are expected to
// wait until they have begun.
func (b *Book) Waits(id string, now time.Time) time.Duration {
	s := b.states[id]
	if s == nil {
		return 0
	}
	b.advance(s, now)
	return s.observed.expected(b.speed, now).take(s.backlog.tokens)
}

// SetPeers replaces the work that other instances have at the upstreams.
func (b *Book) SetPeers(total map[string]Work, now time.Time) {
	for id := range total {
		if u := b.view.ByID(id); u != nil {
			b.state(u)
		}
	}
	for id, s := range b.states {
		b.setPeers(s, total[id], now)
	}
}

func (b *Book) setPeers(s *state, work Work, now time.Time) {
	b.advance(s, now)
	s.backlog.tokens += float64(max(0, work.Prefill-s.peers.Prefill))
	s.peers = work
	b.advance(s, now)
}

// Ticket is one attempt at an upstream, from Pick to Done.
type Ticket struct {
	Upstream  *fleet.Upstream
	Weights   int           // version that the upstream must have; 0: any
	Scope     string        // of KV cache
	FetchFrom string        // IP:port of a store or engine that may hold more of the prompt
	Expected  time.Duration // until the first token
	SaveTo    string        // IP:port of a store that does not hold the prompt's parts yet
	BeginBy   time.Time     // when the request must have begun, for its weights are replaced; zero: no bound

	Held    int    // tokens of the prompt that the upstream is expected to keep
	Fetched int    // tokens that the upstream has with the help of another engine or the store
	Prefix  uint64 // identifies the shared parts, the same for all versions of weights

	brings float64 // tokens that are new to the upstream
	saves  float64 // tokens that are new to the store

	alone   bool // nothing else was to be computed when it was sent
	sent    time.Time
	work    Work
	prefill int // still counted
	keys    []uint64
	done    bool
}

// SharedKeys identify the prompt's shared parts as cached with the upstream's
// weights.
func (t *Ticket) SharedKeys() []uint64 {
	if len(t.keys) == 0 {
		return nil
	}
	return t.keys[:len(t.keys)-1]
}

// Brings returns the tokens of the prompt that are new to the upstream.
func (t *Ticket) Brings() int { return int(t.brings) }

// Saves returns the tokens of the prompt that are new to the store.
func (t *Ticket) Saves() int { return int(t.saves) }

// Begin counts an attempt before it is sent.
func (b *Book) Begin(t *Ticket, now time.Time) {
	s := b.state(t.Upstream)
	t.sent, t.alone = now, s.prefill() == 0
	b.advance(s, now)
	s.own.add(t.work)
	s.backlog.tokens += float64(t.work.Prefill)
	t.prefill = t.work.Prefill
	b.holders.bring(t.Upstream.ID, t.brings*b.unheard(t.Long()))
	b.holders.add(t.keys, t.Upstream.ID, now, now.Add(t.Expected))
}

// Long reports whether the other instances are told of the prompt, since their
// requests would wait behind it.
func (t *Ticket) Long() bool { return t.work.Prefill >= longPrefill }

// longPrefill is the number of prompt tokens to compute from which instances
// tell each other of a request.
const longPrefill = 4096

// unheard returns how many requests of the whole fleet one of this instance
// stands for: the others do not tell of theirs unless they are long.
func (b *Book) unheard(told bool) float64 {
	if told {
		return 1
	}
	return float64(max(1, b.instances))
}

// SetInstances sets the number of instances in the fleet.
func (b *Book) SetInstances(n int) { b.instances = n }

// Computing returns how long the upstream is still expected to compute the
// prompt's shared parts for other requests; it would compute them again for one
// that is sent before.
func (b *Book) Computing(t *Ticket, now time.Time) time.Duration {
	ready := b.holders.ready(t.SharedKeys(), t.Upstream.ID)
	return max(0, min(ready.Sub(now), maxComputing))
}

// FirstToken records that the prompt was computed, and returns the speed that the
// engine showed.
func (b *Book) FirstToken(t *Ticket, saved bool, now time.Time) Speed {
	sample := t.measure(now)
	b.holders.computed(t.keys, t.Upstream.ID, now)
	if s := b.states[t.Upstream.ID]; s != nil {
		b.learnSpeed(s, sample, now)
		s.own.Prefill -= t.prefill
		b.advance(s, now)
	}
	t.prefill = 0
	if saved {
		b.holders.bring(storeID, t.saves*b.unheard(t.Long()))
		b.holders.saved(t.keys, now)
	}
	return sample
}

// advance lets an upstream work off its backlog until now.
func (b *Book) advance(s *state, now time.Time) {
	s.backlog.advance(s.observed.expected(b.speed, now), s.prefill(), now)
}

// prefill returns the tokens of prompts without a first token.
func (s *state) prefill() int { return max(0, s.own.Prefill+s.peers.Prefill) }

// Placed is what another instance tells of a long prompt that it sent.
type Placed struct {
	Upstream string
	Keys     []uint64      // of the shared parts
	Ready    time.Duration // until they are computed; 0: they are
	Saves    int           // tokens that are new to the store, which then holds the parts; 0: none were saved
	Speed    Speed         // that the upstream showed with it
	Brings   int           // tokens that are new to the upstream; 0: told before
}

// SawPlaced records what another instance tells.
func (b *Book) SawPlaced(p Placed, now time.Time) {
	u := b.view.ByID(p.Upstream)
	if u == nil {
		return
	}
	b.learnSpeed(b.state(u), p.Speed, now)
	b.holders.bring(p.Upstream, float64(max(0, p.Brings)))
	b.holders.add(p.Keys, p.Upstream, now, now.Add(p.Ready))
	if p.Ready <= 0 {
		b.holders.computed(p.Keys, p.Upstream, now)
	}
	if p.Saves > 0 {
		b.holders.bring(storeID, float64(p.Saves))
		b.holders.saved(p.Keys, now)
	}
}

// Done ends an attempt.
func (b *Book) Done(t *Ticket, r Result, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	s := b.states[t.Upstream.ID]
	if s == nil {
		return
	}
	s.own.Requests -= t.work.Requests
	s.own.Memory -= t.work.Memory
	s.own.Prefill -= t.prefill
	b.advance(s, now)
	t.prefill = 0
	switch r {
	case OK:
		s.health.Success()
	case Unreachable:
		s.health.Unreachable(now, &b.outlier, b.rng)
		b.holders.forgetKeys(t.keys, t.Upstream.ID)
	case Failed:
		s.health.Failure(now, &b.outlier, b.rng)
		b.holders.forgetKeys(t.keys, t.Upstream.ID)
	case Refused:
		b.holders.forgetKeys(t.keys, t.Upstream.ID)
	case Cancelled:
	}
}
