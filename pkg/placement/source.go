package placement

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	// transferSetup is the fixed part of the time of a KV cache transfer.
	transferSetup = 5 * time.Millisecond
	// crossDomainTransferFactor multiplies the time to transfer the bytes if source and
	// engine are in different failure domains.
	crossDomainTransferFactor = 2
	// defaultTransferTime is assumed if the link speed or the size of a token is unknown.
	defaultTransferTime = 25 * time.Millisecond
)

// source is an engine or the store from which an engine may fetch leading parts of a
// prompt.
type source struct {
	engineID     string // storeID for the store
	addr         string
	domain       string
	linkMbps     float64
	cachedTokens int // leading tokens that it is expected to have cached
}

// sources returns the sources for the parts with the given keys: the engines that have
// cached all shared parts, and the store.
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

// transferTime returns the expected time to transfer KV cache of that many tokens from
// the source to an engine.
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

// bestSource returns the source that saves an engine with cached leading tokens of the
// prompt the most time, the leading tokens that the source has, and the transfer time.
// If no source saves time, it returns the first one that is not expected to have more
// than the engine, with no tokens and time, because that one may have cached parts that
// this instance does not know of.
func (p *prompt) bestSource(sources []source, to *fleet.Upstream, cached int, speed Speed) (best *source, tokens int, transfer time.Duration) {
	mostSaved := time.Duration(0)
	for i := range sources {
		s := &sources[i]
		if s.engineID == to.ID {
			continue
		}
		if s.cachedTokens <= cached {
			if best == nil {
				best = s
			}
			continue
		}
		transferTime := s.transferTime(to, p.Service.Engine, s.cachedTokens-cached)
		timeSaved := speed.timeFor(float64(s.cachedTokens-cached)) - transferTime
		if timeSaved > mostSaved {
			best, tokens, transfer, mostSaved = s, s.cachedTokens, transferTime, timeSaved
		}
	}
	return best, tokens, transfer
}
