package edge

import (
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
)

// placer makes a placement.Book safe for concurrent use.
type placer struct {
	now          func() time.Time
	onLongPrompt func(placement.Placed) // called when a prompt that keeps an engine busy was sent or computed

	mu   sync.Mutex
	book *placement.Book
	view *fleet.View
}

func newPlacer(book *placement.Book, now func() time.Time) *placer {
	return &placer{now: now, book: book, view: fleet.NewView(nil), onLongPrompt: func(placement.Placed) {}}
}

// Pick implements dispatch.Placer.
func (p *placer) Pick(q placement.Query) (*placement.Ticket, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Pick(p.now(), q)
}

// Begin implements dispatch.Placer.
func (p *placer) Begin(t *placement.Ticket) {
	p.mu.Lock()
	p.book.Begin(t, p.now())
	p.mu.Unlock()
	if t.Long() {
		p.onLongPrompt(placement.Placed{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), Ready: t.Expected, Brings: t.Brings()})
	}
}

// PrefixComputeTime implements dispatch.Placer.
func (p *placer) PrefixComputeTime(t *placement.Ticket) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Computing(t, p.now())
}

// FirstToken implements dispatch.Placer.
func (p *placer) FirstToken(t *placement.Ticket, saved bool) {
	p.mu.Lock()
	speed := p.book.FirstToken(t, saved, p.now())
	p.mu.Unlock()
	if t.Long() {
		placed := placement.Placed{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), Speed: speed}
		if saved {
			placed.Saves = t.Saves()
		}
		p.onLongPrompt(placed)
	}
}

// Done implements dispatch.Placer.
func (p *placer) Done(t *placement.Ticket, r placement.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Done(t, r, p.now())
}

// RecordLoad implements dispatch.Placer.
func (p *placer) RecordLoad(id string, load call.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SawLoad(id, load, p.now())
}

// RecordWeights implements dispatch.Placer.
func (p *placer) RecordWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SawWeights(id, model, version, p.now())
}

// RecordWeightsMismatch implements dispatch.Placer.
func (p *placer) RecordWeightsMismatch(id, model string, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.WeightsDiffer(id, model, refused)
}

// SetBusy implements dispatch.Placer.
func (p *placer) SetBusy(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetBusy(id, p.now().Add(d))
}

func (p *placer) setView(v *fleet.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	p.book.SetView(v)
}

func (p *placer) setWantedVersion(model string, version int, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetWanted(model, version, since)
}

func (p *placer) recordPlacement(placed placement.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SawPlaced(placed, p.now())
}

func (p *placer) setInstances(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetInstances(n)
}

func (p *placer) setPeerWork(total map[string]placement.Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetPeers(total, p.now())
}

func (p *placer) ownWork() map[string]placement.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Own()
}
