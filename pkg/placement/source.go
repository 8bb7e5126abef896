package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// moveSetup is the time of a move of KV cache besides its bytes.
	moveSetup = 5 * time.Millisecond
	// farMove is how much longer moves between failure domains take.
	farMove = 2
	// unknownMove is the time of a move over a link whose speed is not known.
	unknownMove = 25 * time.Millisecond
)

// source is where an engine may fetch leading parts of a prompt from.
type source struct {
	id     string // of the engine; empty: the store
	addr   string
	domain string
	link   float64 // Mbit/s
	tokens int     // that it is expected to keep
}

// sources lists from where the parts with these keys may be fetched: engines
// that keep all shared parts, and the store.
func (b *Book) sources(p *prompt, keys []uint64, now time.Time) []source {
	var out []source
	for _, id := range b.holders.keepers(keys[:p.sharedParts], now) {
		u := b.view.ByID(id)
		if u == nil || u.Draining || b.state(u).health.Ejected(now) {
			continue
		}
		out = append(out, source{u.ID, u.Addr, u.Domain, p.Service.Engine.LinkMbps, p.sharedTokens})
	}
	if p.CacheStore != nil {
		b.holders.memory(storeID).room = p.CacheStore.KVTokens
		stored := tokensOf(p.Parts[:b.holders.inStore(keys, now)])
		out = append(out, source{"", p.CacheStore.Addr, p.CacheStore.Domain, p.CacheStore.LinkMbps, stored})
	}
	return out
}

// moveTime is the expected time of a move of tokens from the source.
func (s *source) moveTime(to *fleet.Upstream, engine *routing.Engine, tokens int) time.Duration {
	if s.link <= 0 || engine.TokenBytes <= 0 {
		return unknownMove
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(tokens*engine.TokenBytes) * bitsPerByte / (s.link * bitsPerMbit)
	if s.domain != to.Domain {
		seconds *= farMove
	}
	return moveSetup + time.Duration(seconds*float64(time.Second))
}

// bestSource returns the source with which an engine that keeps some tokens of a
// prompt has computed it first, and the time of the move. Without any that keeps
// more, it is the first of the others, which may know parts that this instance does
// not know of.
func (p *prompt) bestSource(sources []source, to *fleet.Upstream, held int, speed Speed) (best *source, tokens int, took time.Duration) {
	saved := time.Duration(0)
	for i := range sources {
		s := &sources[i]
		if s.id == to.ID {
			continue
		}
		if s.tokens <= held {
			if best == nil {
				best = s
			}
			continue
		}
		move := s.moveTime(to, p.Service.Engine, s.tokens-held)
		gain := speed.take(float64(s.tokens-held)) - move
		if gain > saved {
			best, tokens, took, saved = s, s.tokens, move, gain
		}
	}
	return best, tokens, took
}
