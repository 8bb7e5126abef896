package upstream

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// EntryKind is the kind of an input or output of a pool's Scheduler.
type EntryKind string

// Inputs of a Scheduler, and its output EntryOutcome. EntryMove records what
// the function set by OnMove returned while the entry before it was processed.
const (
	EntryCreate     EntryKind = "create"
	EntryConfigure  EntryKind = "configure"
	EntryInstances  EntryKind = "instances"
	EntrySubmit     EntryKind = "submit"
	EntryCancel     EntryKind = "cancel"
	EntryExpire     EntryKind = "expire"
	EntryFirstToken EntryKind = "first_token"
	EntryDone       EntryKind = "done"
	EntryTick       EntryKind = "tick"
	EntryList       EntryKind = "list"
	EntryReport     EntryKind = "report"
	EntryPollFailed EntryKind = "poll_failed"
	EntryEvents     EntryKind = "events"
	EntryImport     EntryKind = "import"
	EntryImported   EntryKind = "imported"
	EntryExported   EntryKind = "exported"
	EntryPauseKV    EntryKind = "pause_kv"
	EntryMove       EntryKind = "move"
	EntryOutcome    EntryKind = "outcome"
)

// Entry is one recorded input or output. It contains neither prompts nor keys.
type Entry struct {
	At        time.Duration       `json:"at"` // since the creation of the pool, ns
	Kind      EntryKind           `json:"kind"`
	Pool      string              `json:"pool"`
	Request   int                 `json:"request,omitempty"` // number of the request, from 1
	Settings  *Settings           `json:"settings,omitempty"`
	Instances int                 `json:"instances,omitempty"`
	Query     *RecordedQuery      `json:"query,omitempty"`
	List      []external.Instance `json:"list,omitempty"`
	Upstream  string              `json:"upstream,omitempty"`
	Report    *engine.LoadReport  `json:"report,omitempty"`
	Events    *engine.EventBatch  `json:"events,omitempty"`
	Tokens    int                 `json:"tokens,omitempty"` // prompt tokens found cached, for EntryFirstToken
	Result    Result              `json:"result,omitempty"`
	Transfer  *Transfer           `json:"transfer,omitempty"`
	Blocks    int                 `json:"blocks,omitempty"` // number of blocks transferred
	Moved     bool                `json:"moved,omitempty"`
	Outcome   *Outcome            `json:"outcome,omitempty"`
}

// RecordedQuery is a Query whose deadline is relative to its submission.
type RecordedQuery struct {
	Customer   string        `json:"customer,omitempty"`
	Weight     float64       `json:"weight,omitempty"`
	FromDomain string        `json:"from_domain,omitempty"`
	Priority   int           `json:"priority,omitempty"`
	Tokens     int           `json:"tokens,omitempty"`
	MaxOutput  int           `json:"max_output,omitempty"`
	Blocks     []block.Hash  `json:"blocks,omitempty"`
	Deadline   time.Duration `json:"deadline,omitempty"` // ns after the submission, 0 for none
	Exclude    []string      `json:"exclude,omitempty"`
	Moves      int           `json:"moves,omitempty"`
}

// Query returns the query as submitted to the pool at now.
func (r *RecordedQuery) Query(pool string, now time.Time) Query {
	q := Query{
		Pool: pool, Customer: r.Customer, Weight: r.Weight, FromDomain: r.FromDomain, Priority: r.Priority,
		Tokens: r.Tokens, MaxOutput: r.MaxOutput, Blocks: r.Blocks, Exclude: r.Exclude, Moves: r.Moves,
	}
	if r.Deadline != 0 {
		q.Deadline = now.Add(r.Deadline)
	}
	return q
}

func newRecordedQuery(q *Query, now time.Time) *RecordedQuery {
	r := &RecordedQuery{
		Customer: q.Customer, Weight: q.Weight, FromDomain: q.FromDomain, Priority: q.Priority,
		Tokens: q.Tokens, MaxOutput: q.MaxOutput, Blocks: q.Blocks, Exclude: q.Exclude, Moves: q.Moves,
	}
	if !q.Deadline.IsZero() {
		r.Deadline = q.Deadline.Sub(now)
	}
	return r
}

// Outcome is the decision on one request.
type Outcome struct {
	Upstream  string    `json:"upstream,omitempty"`
	HitTokens int       `json:"hit_tokens,omitempty"`
	Code      code.Code `json:"code,omitempty"` // set if the request was rejected
}

// Outcome returns the decision, or false if w is still undecided.
func (w *Waiter) Outcome() (Outcome, bool) {
	switch {
	case w.Grant != nil:
		return Outcome{Upstream: w.Grant.inFlight.Upstream.ID, HitTokens: w.Grant.choice.HitTokens}, true
	case w.Err != nil:
		return Outcome{Code: w.Err.Code}, true
	}
	return Outcome{}, false
}

// Recorder receives entries in the order in which a pool's Scheduler processed
// them. Record is called with the pool's lock held, so it must not block for
// long.
type Recorder interface {
	Record(e Entry)
}

// recording sends the entries of one pool to a Recorder and fills in the fields
// that all of them share. A nil recording records nothing.
type recording struct {
	recorder       Recorder
	pool           string
	createdAt      time.Time
	lastOffset     time.Duration
	requestNumbers map[*Waiter]int
	lastNumber     int
}

// Record sends every input and outcome from now on to the recorder. It is
// called right after NewScheduler, so that a replay starts from the same state.
func (s *Scheduler) Record(now time.Time, recorder Recorder) {
	s.rec = &recording{recorder: recorder, pool: s.settings.Pool.Name, createdAt: now, requestNumbers: map[*Waiter]int{}}
	settings := s.settings
	s.rec.add(now, Entry{Kind: EntryCreate, Settings: &settings})
}

func (r *recording) add(now time.Time, e Entry) {
	if r == nil {
		return
	}
	r.lastOffset = now.Sub(r.createdAt)
	r.addUntimed(e)
}

// addUntimed records an input without a time of its own; it gets the time of
// the previous entry.
func (r *recording) addUntimed(e Entry) {
	if r == nil {
		return
	}
	e.At, e.Pool = r.lastOffset, r.pool
	r.recorder.Record(e)
}

func (r *recording) addSubmit(now time.Time, w *Waiter) {
	if r == nil {
		return
	}
	r.lastNumber++
	r.requestNumbers[w] = r.lastNumber
	r.add(now, Entry{Kind: EntrySubmit, Request: r.lastNumber, Query: newRecordedQuery(&w.query, now)})
}

// addRequest records an input about w that has no time of its own.
func (r *recording) addRequest(kind EntryKind, w *Waiter) {
	if r != nil {
		r.addUntimed(Entry{Kind: kind, Request: r.requestNumbers[w]})
	}
}

// addGrant records an input about a request that holds a slot.
func (r *recording) addGrant(now time.Time, g *Grant, e Entry) {
	if r != nil {
		e.Request = r.requestNumbers[g.waiter]
		r.add(now, e)
	}
}

func (r *recording) addOutcome(w *Waiter) {
	if r == nil {
		return
	}
	o, _ := w.Outcome()
	r.addUntimed(Entry{Kind: EntryOutcome, Request: r.requestNumbers[w], Outcome: &o})
	if w.Err != nil {
		delete(r.requestNumbers, w)
	}
}

// addMove records whether the caller agreed to move a request.
func (r *recording) addMove(g *Grant, moved bool) {
	if r != nil {
		r.addUntimed(Entry{Kind: EntryMove, Request: r.requestNumbers[g.waiter], Moved: moved})
	}
}

// addDone records the end of a request and removes its number.
func (r *recording) addDone(now time.Time, g *Grant, result Result) {
	if r != nil {
		r.addGrant(now, g, Entry{Kind: EntryDone, Result: result})
		delete(r.requestNumbers, g.waiter)
	}
}

// removeRequest removes the number of a request that was withdrawn undecided.
func (r *recording) removeRequest(w *Waiter) {
	if r != nil {
		delete(r.requestNumbers, w)
	}
}
