package edge

import (
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/member"
)

// hasRelay reports whether a relay follows the store on behalf of this instance: it
// is not itself one of the relays of its failure domain, and a digest arrived
// recently from one of them that follows the store.
func (p *peers) hasRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	relayFollows := false
	for _, relay := range p.domainRelays() {
		if relay.ID == p.self.Name {
			return false
		}
		relayFollows = relayFollows || p.byName[relay.ID].lastDigest.GetFollows()
	}
	return relayFollows
}

// domainRelays returns the relays among the live instances of the own failure domain. Those
// with a wide link are preferred: a relay reads each change from the store and sends it on.
// The caller holds mu.
func (p *peers) domainRelays() []config.Member {
	now, silence := p.now(), p.relaySilence()
	members := []member.Linked{{Member: config.Member{ID: p.self.Name, Domain: p.self.Domain}, LinkMbps: p.self.LinkMbps}}
	for name, other := range p.byName {
		if now.Sub(other.heardAt) < silence {
			m := config.Member{ID: name, Domain: other.addr.Domain, Leaving: other.lastDigest.GetLeaving()}
			members = append(members, member.Linked{Member: m, LinkMbps: other.addr.GetLinkMbps()})
		}
	}
	return member.LinkedRelays(members, p.self.Domain)
}
