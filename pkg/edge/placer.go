package edge

import (
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
)

// placer makes a placement.Balancer safe for concurrent use.
type placer struct {
	now          func() time.Time
	onLongPrompt func(placement.Announcement) // called when a prompt that keeps an engine busy was sent or computed

	mu   sync.Mutex
	book *placement.Balancer
	view *fleet.View
}

func newPlacer(book *placement.Balancer, now func() time.Time) *placer {
	return &placer{now: now, book: book, view: fleet.NewView(nil), onLongPrompt: func(placement.Announcement) {}}
}

// Pick implements dispatch.Placer.
func (p *placer) Pick(q placement.Query) (*placement.Attempt, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Pick(p.now(), q)
}

// Begin implements dispatch.Placer.
func (p *placer) Begin(t *placement.Attempt) {
	p.mu.Lock()
	p.book.Begin(t, p.now())
	p.mu.Unlock()
	if t.IsLong() {
		p.onLongPrompt(placement.Announcement{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), ReadyIn: t.ExpectedTTFT, NewTokens: t.NewTokens()})
	}
}

// PrefixComputeTime implements dispatch.Placer.
func (p *placer) PrefixComputeTime(t *placement.Attempt) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.RemainingComputeTime(t, p.now())
}

// FirstToken implements dispatch.Placer.
func (p *placer) FirstToken(t *placement.Attempt, saved bool) {
	p.mu.Lock()
	speed := p.book.FirstToken(t, saved, p.now())
	p.mu.Unlock()
	if t.IsLong() {
		placed := placement.Announcement{Upstream: t.Upstream.ID, Keys: t.SharedKeys(), Speed: speed}
		if saved {
			placed.NewStoreTokens = t.NewStoreTokens()
		}
		p.onLongPrompt(placed)
	}
}

// Done implements dispatch.Placer.
func (p *placer) Done(t *placement.Attempt, r placement.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Done(t, r, p.now())
}

// RecordLoad implements dispatch.Placer.
func (p *placer) RecordLoad(id string, load call.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.RecordLoad(id, load, p.now())
}

// RecordWeights implements dispatch.Placer.
func (p *placer) RecordWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.RecordWeights(id, model, version, p.now())
}

// RecordWeightsMismatch implements dispatch.Placer.
func (p *placer) RecordWeightsMismatch(id, model string, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.RecordWeightsMismatch(id, model, refused)
}

// SetBusy implements dispatch.Placer.
func (p *placer) SetBusy(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetBusyUntil(id, p.now().Add(d))
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
	p.book.SetTargetVersion(model, version, since)
}

func (p *placer) recordPlacement(placed placement.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.ApplyAnnouncement(placed, p.now())
}

func (p *placer) setInstances(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetInstanceCount(n)
}

func (p *placer) setPeerWork(total map[string]placement.Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetPeerWork(total, p.now())
}

func (p *placer) ownWork() map[string]placement.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.OwnWork()
}
