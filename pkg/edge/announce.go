package edge

import (
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
	"github.com/fescuestep/fescuestep/pkg/upstreamrate"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// updateRepeats is the number of digests that carry an update, so that it survives
// the loss of one datagram. If all are lost, the platform's listing of upstreams
// shows the same later.
const updateRepeats = 2

// pendingUpdates holds the events that the next digests announce, as opposed to the
// totals and versions that every full digest repeats.
type pendingUpdates struct {
	loads   []pendingUpdate[*rpc.Load]
	weights []pendingUpdate[*rpc.Weights]
	placed  []pendingUpdate[*rpc.Placed]

	departures []pendingUpdate[*rpc.Departure]

	crashes     []pendingUpdate[*rpc.Crash]
	crashPieces []pendingUpdate[*rpc.CrashPiece]
	answers     []pendingUpdate[*rpc.Answer]

	rateLimits []pendingUpdate[rateLimit]

	streams []pendingUpdate[streamversion.Beginning]
}

// pendingUpdate is an update that is still to be sent.
type pendingUpdate[T any] struct {
	message   T
	remaining int // number of digests that it is still to be sent in
}

// nextUpdates returns the updates for one digest, at most maxUpdates.
func nextUpdates[T any](list *[]pendingUpdate[T]) []T { return takeUpdates(list, maxUpdates) }

// takeUpdates returns at most most updates and removes those that have been sent
// updateRepeats times from the list.
func takeUpdates[T any](list *[]pendingUpdate[T], most int) []T {
	out := make([]T, 0, min(len(*list), most))
	pending := (*list)[:0]
	for _, update := range *list {
		if len(out) < most {
			out = append(out, update.message)
			update.remaining--
		}
		if update.remaining > 0 {
			pending = append(pending, update)
		}
	}
	*list = pending
	return out
}

// nextCrashes returns the crashes for one digest, at most maxCrashParts parts of requests
// but one crash at least. While others remain, the next digest does not wait. The caller
// holds mu.
func (p *peers) nextCrashes() []*rpc.Crash {
	n, parts := 0, 0
	for _, update := range p.updates.crashes[:min(len(p.updates.crashes), maxUpdates)] {
		if parts += len(update.message.Parts); n > 0 && parts > maxCrashParts {
			break
		}
		n++
	}
	out := takeUpdates(&p.updates.crashes, n)
	if len(p.updates.crashes) > n {
		p.requestSend()
	}
	return out
}

// nextCrashPieces returns the pieces of crashes for one digest: one, as it fills a datagram,
// and none beside whole crashes. While others remain, the next digest does not wait. The
// caller holds mu.
func (p *peers) nextCrashPieces(besides []*rpc.Crash) []*rpc.CrashPiece {
	var out []*rpc.CrashPiece
	if len(besides) == 0 {
		out = takeUpdates(&p.updates.crashPieces, 1)
	}
	if len(p.updates.crashPieces) > 0 {
		p.requestSend()
	}
	return out
}

// nextStreams returns the streams for one digest. While others remain, the next digest
// does not wait. The caller holds mu.
func (p *peers) nextStreams() []streamversion.Beginning {
	untold, more := p.streams.untold()
	for _, b := range untold {
		p.updates.streams = append(p.updates.streams, pendingUpdate[streamversion.Beginning]{b, updateRepeats})
	}
	out := takeUpdates(&p.updates.streams, maxStreamsTold)
	if more || len(p.updates.streams) > 0 {
		p.requestSend()
	}
	return out
}

// announceState sends the new versions of the tables to the other instances if
// they may fetch state from this one.
func (p *peers) announceState() {
	if p.isRelay.Load() {
		p.requestSend()
	}
}

// announceLoading tells the other instances to send no requests to an engine that
// loads weights, for loadingHold.
func (p *peers) announceLoading(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Add(loadingRenewBefore).Before(p.loadingUntil[id]) {
		return // announced already
	}
	p.loadingUntil[id] = now.Add(loadingHold)
	load := &rpc.Load{Upstream: id, Ms: uint32(loadingHold.Milliseconds())}
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{load, updateRepeats})
	p.requestSend()
}

// announceRefusal tells the other instances that a brittle upstream refused a request for
// want of room.
func (p *peers) announceRefusal(r placement.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := &rpc.Load{Upstream: r.Upstream, Ms: uint32(r.Hold.Milliseconds()), Refused: true, Room: uint32(r.Room)}
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{load, updateRepeats})
	p.requestSend()
}

// announceWeights tells the other instances which version of a model's weights an
// engine has loaded, and that it accepts requests again.
func (p *peers) announceWeights(id, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.loadingUntil, id)
	p.updates.loads = slices.DeleteFunc(p.updates.loads, func(update pendingUpdate[*rpc.Load]) bool { return update.message.Upstream == id })
	p.updates.loads = append(p.updates.loads, pendingUpdate[*rpc.Load]{&rpc.Load{Upstream: id}, updateRepeats})
	weights := &rpc.Weights{Upstream: id, Model: model, Version: uint32(version)}
	p.updates.weights = append(p.updates.weights, pendingUpdate[*rpc.Weights]{weights, updateRepeats})
	p.requestSend()
}

// announcePlacement tells the other instances which upstream has the shared parts of
// a long prompt cached, or will have computed them soon.
func (p *peers) announcePlacement(announcement placement.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPlacedSerial++
	message := &rpc.Placed{
		Serial: p.lastPlacedSerial, Upstream: announcement.Upstream, Keys: announcement.Keys, Saves: uint32(max(0, announcement.NewStoreTokens)),
		ReadyMs: uint32(announcement.ReadyIn.Milliseconds()), Speed: float32(announcement.Speed),
		Brings: uint32(max(0, announcement.NewTokens)),
	}
	p.updates.placed = append(p.updates.placed, pendingUpdate[*rpc.Placed]{message, updateRepeats})
	p.requestSend()
}

// announceDeparture tells the other instances that an upstream has stated that it
// leaves.
func (p *peers) announceDeparture(d fleet.Departure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates.departures = append(p.updates.departures, pendingUpdate[*rpc.Departure]{encodeDeparture(d), updateRepeats})
	p.requestSend()
}

// announceCrash tells the other instances that an upstream ended while it began to
// answer a prompt. They learn enough from those that are pending if there are many.
func (p *peers) announceCrash(c quarantine.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch now := p.now(); {
	case len(c.Parts) > maxCrashPieceParts:
		p.announceInPieces(c, now)
	case len(p.updates.crashes) < maxPendingCrashes:
		p.updates.crashes = append(p.updates.crashes, pendingUpdate[*rpc.Crash]{encodeCrash(c, now), updateRepeats})
	}
	p.requestSend()
}

// announceInPieces does the same for a crash with many parts. The caller holds mu.
func (p *peers) announceInPieces(c quarantine.Crash, now time.Time) {
	if len(p.updates.crashPieces) >= maxPendingCrashPieces {
		return
	}
	for _, piece := range c.Pieces(maxCrashPieceParts) {
		p.updates.crashPieces = append(p.updates.crashPieces, pendingUpdate[*rpc.CrashPiece]{encodeCrashPiece(piece, now), updateRepeats})
	}
}

// announceAnswer tells the other instances that a prompt with a part was answered.
func (p *peers) announceAnswer(part quarantine.Part, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := &rpc.Answer{Part: uint64(part), AgoMs: ago(at, p.now())}
	p.updates.answers = append(p.updates.answers, pendingUpdate[*rpc.Answer]{answer, updateRepeats})
	p.requestSend()
}

// rateLimitChanged tells the other instances that an upstream names another limit than
// before, or none.
func (p *peers) rateLimitChanged(s upstreamrate.Statement) {
	p.logRateLimit(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates.rateLimits = append(p.updates.rateLimits, pendingUpdate[rateLimit]{rateLimit{Statement: s}, updateRepeats})
	p.requestSend()
}
