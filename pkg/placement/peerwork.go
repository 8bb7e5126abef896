package placement

import "time"

// ChangePeerWork replaces the work of the other instances at some upstreams. After a
// change of the listed upstreams, SetPeerWork must be called first: what was told of an
// upstream that was not listed is not kept.
func (b *Balancer) ChangePeerWork(changed map[string]Work, age KnowledgeAge, now time.Time) {
	b.peerWorkAge = age
	for id, work := range changed {
		if u := b.view.ByID(id); u != nil {
			b.setPeerWork(b.state(u), work, now)
		}
	}
}
