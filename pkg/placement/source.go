package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// transferSetup is the time of a move of KV cache besides its bytes.
	transferSetup = 5 * time.Millisecond
	// crossDomainTransferFactor is how much longer moves between failure domains take.
	crossDomainTransferFactor = 2
	// defaultTransferTime is the time of a move over a link whose speed is not known.
	defaultTransferTime = 25 * time.Millisecond
)

// source is where an engine may fetch leading parts of a prompt from.
type source struct {
	engineID     string // of the engine; empty: the store
	addr         string
	domain       string
	linkMbps     float64 // Mbit/s
	cachedTokens int     // that it is expected to keep
}

// sources lists from where the parts with these keys may be fetched: engines
// that keep all shared parts, and the store.
func (b *Balancer) sources(p *prompt, keys []uint64, now time.Time) []source {
	var out []source
	for _, id := range b.prefixes.enginesWithAll(keys[:p.sharedParts], now) {
		u := b.view.ByID(id)
		if u == nil || u.Draining || b.state(u).health.Ejected(now) {
			continue
		}
		out = append(out, source{u.ID, u.Addr, u.Domain, p.Service.Engine.LinkMbps, p.sharedTokens})
	}
	if p.CacheStore != nil {
		b.prefixes.cache(storeID).capacity = p.CacheStore.KVTokens
		stored := tokensOf(p.Parts[:b.prefixes.storedParts(keys, now)])
		out = append(out, source{"", p.CacheStore.Addr, p.CacheStore.Domain, p.CacheStore.LinkMbps, stored})
	}
	return out
}

// transferTime is the expected time of a move of tokens from the source.
func (s *source) transferTime(to *fleet.Upstream, engine *routing.Engine, tokens int) time.Duration {
	if s.linkMbps <= 0 || engine.TokenBytes <= 0 {
		return defaultTransferTime
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(tokens*engine.TokenBytes) * bitsPerByte / (s.linkMbps * bitsPerMbit)
	if s.domain != to.Domain {
		seconds *= crossDomainTransferFactor
	}
	return transferSetup + time.Duration(seconds*float64(time.Second))
}

// bestSource returns the source with which an engine that keeps some tokens of a
// prompt has computed it first, and the time of the move. Without any that keeps
// more, it is the first of the others, which may know parts that this instance does
// not know of.
func (p *prompt) bestSource(sources []source, to *fleet.Upstream, held int, speed Speed) (best *source, tokens int, took time.Duration) {
	saved := time.Duration(0)
	for i := range sources {
		s := &sources[i]
		if s.engineID == to.ID {
			continue
		}
		if s.cachedTokens <= held {
			if best == nil {
				best = s
			}
			continue
		}
		move := s.transferTime(to, p.Service.Engine, s.cachedTokens-held)
		gain := speed.timeFor(float64(s.cachedTokens-held)) - move
		if gain > saved {
			best, tokens, took, saved = s, s.cachedTokens, move, gain
		}
	}
	return best, tokens, took
}
