package replay

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// start is the time of all state machines at the beginning of a trace.
var start = time.Unix(0, 0).UTC()

// poolPlayer replays one pool.
type poolPlayer struct {
	core     *upstream.Scheduler
	requests map[int]*upstream.Waiter
	moved    map[*upstream.Waiter]bool // what the shell answers during the present input
}

func (p *player) playPool(e *upstream.Entry, next []numbered) error {
	now := start.Add(e.At)
	if e.Kind == upstream.EntryCreate {
		return p.createPool(now, e)
	}
	pool := p.pools[e.Pool]
	if pool == nil {
		return errors.Newf("pool %q was not created", e.Pool)
	}
	switch e.Kind {
	case upstream.EntryOutcome:
		return pool.outcome(p, e)
	case upstream.EntryMove:
		return nil // taken into account with the input before it
	}
	p.input()
	pool.lookAhead(e.Pool, next)
	return pool.input(now, e)
}

func (p *player) createPool(now time.Time, e *upstream.Entry) error {
	if e.Settings == nil {
		return errors.New("create without settings")
	}
	core, err := upstream.NewScheduler(now, *e.Settings)
	if err != nil {
		return err
	}
	// Recorded exports come from the shell; the replay only needs the machine
	// to behave as if it had one.
	core.OnExport(func(upstream.Transfer) {})
	pool := &poolPlayer{core: core, requests: map[int]*upstream.Waiter{}, moved: map[*upstream.Waiter]bool{}}
	if e.Settings.UsesDefaultPolicy() { // as the shell does; a baseline never moves requests
		core.OnMove(func(g *upstream.Grant) bool { return pool.moved[g.Waiter()] })
	}
	p.pools[e.Pool] = pool
	p.input()
	return nil
}

// lookAhead notes what the shell answered during the input that is followed by
// the entries next.
func (p *poolPlayer) lookAhead(pool string, next []numbered) {
	clear(p.moved)
	for _, l := range next {
		e := l.line.Pool
		if e == nil || e.Pool != pool {
			continue
		}
		if e.Kind != upstream.EntryMove && e.Kind != upstream.EntryOutcome {
			return
		}
		if e.Kind == upstream.EntryMove {
			p.moved[p.requests[e.Request]] = e.Moved
		}
	}
}

// outcome compares a stated decision with the one that the machine made.
func (p *poolPlayer) outcome(to *player, e *upstream.Entry) error {
	w := p.requests[e.Request]
	if w == nil || e.Outcome == nil {
		return errors.Newf("outcome of the unknown request %d", e.Request)
	}
	got, decided := w.Outcome()
	what := fmt.Sprintf("pool %s, request %d", e.Pool, e.Request)
	if !decided {
		what += " (undecided)"
	}
	compare(to, what, *e.Outcome, got)
	if got.Code != 0 {
		delete(p.requests, e.Request)
	}
	return nil
}

func (p *poolPlayer) input(now time.Time, e *upstream.Entry) error {
	switch e.Kind {
	case upstream.EntryConfigure:
		if e.Settings == nil {
			return errors.New("configure without settings")
		}
		p.core.Configure(*e.Settings)
	case upstream.EntryInstances:
		p.core.SetInstances(e.Instances)
	case upstream.EntryTick:
		p.core.Tick(now)
	case upstream.EntryList:
		p.core.OnList(now, e.List)
	case upstream.EntryPollFailed:
		p.core.OnPollFailed(e.Upstream)
	case upstream.EntryPauseKV:
		p.core.PauseKV(now)
	case upstream.EntryReport, upstream.EntryEvents, upstream.EntryExported:
		return p.observation(now, e)
	default:
		return p.request(now, e)
	}
	return nil
}

// observation applies what was learned of an upstream.
func (p *poolPlayer) observation(now time.Time, e *upstream.Entry) error {
	switch {
	case e.Kind == upstream.EntryReport && e.Report != nil:
		p.core.OnReport(now, e.Upstream, e.Report)
	case e.Kind == upstream.EntryEvents && e.Events != nil:
		p.core.OnEvents(now, e.Upstream, e.Events)
	case e.Kind == upstream.EntryExported && e.Transfer != nil:
		p.core.FinishExport(now, *e.Transfer, e.Blocks)
	default:
		return errors.Newf("%s without its content", e.Kind)
	}
	return nil
}

// request applies an input about one request.
func (p *poolPlayer) request(now time.Time, e *upstream.Entry) error {
	if e.Kind == upstream.EntrySubmit {
		if e.Query == nil {
			return errors.New("submit without query")
		}
		q := e.Query.Query(e.Pool, now)
		p.requests[e.Request] = p.core.Submit(now, &q, func(*upstream.Waiter) {})
		return nil
	}
	w := p.requests[e.Request]
	if w == nil {
		return errors.Newf("%s of the unknown request %d", e.Kind, e.Request)
	}
	switch e.Kind {
	case upstream.EntryCancel:
		p.core.Cancel(w)
		return nil
	case upstream.EntryExpire:
		p.core.Expire(w)
		return nil
	}
	if w.Grant == nil {
		return nil // the replay decided otherwise, which its outcome shows
	}
	return p.granted(now, e, w)
}

func (p *poolPlayer) granted(now time.Time, e *upstream.Entry, w *upstream.Waiter) error {
	switch e.Kind {
	case upstream.EntryFirstToken:
		p.core.FirstToken(now, w.Grant, e.Tokens)
	case upstream.EntryDone:
		p.core.Done(now, w.Grant, e.Result)
		delete(p.requests, e.Request)
	case upstream.EntryImport:
		p.core.StartImport(w.Grant)
	case upstream.EntryImported:
		if e.Transfer == nil {
			return errors.New("imported without transfer")
		}
		p.core.FinishImport(now, w.Grant, *e.Transfer, e.Blocks)
	default:
		return errors.Newf("unknown kind %q", e.Kind)
	}
	return nil
}
