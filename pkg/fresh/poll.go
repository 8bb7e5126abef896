package fresh

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Poll asks the members of one revision whether they know a newer one.
type Poll struct {
	Sent     time.Duration
	Revision uint64

	voters map[identity]bool // true once the voter has answered
	yes    int
	newer  bool
}

type identity struct{ id, incarnation string }

// NewPoll starts a poll at sent about a revision with the membership.
func NewPoll(sent time.Duration, revision uint64, m config.Membership) *Poll {
	p := &Poll{Sent: sent, Revision: revision, voters: make(map[identity]bool, len(m.Members))}
	for _, x := range m.Members {
		p.voters[identity{x.ID, x.Incarnation}] = false
	}
	return p
}

// Answer records a member's statement. An incarnation other than the recorded
// one does not count: its predecessor may have acknowledged more than it
// remembers.
func (p *Poll) Answer(id, incarnation string, s Statement) {
	key := identity{id, incarnation}
	answered, voter := p.voters[key]
	if !voter || answered || !s.Member {
		return
	}
	p.voters[key] = true
	if s.Revision > p.Revision {
		p.newer = true
		return
	}
	p.yes++
}

// Majority reports whether a majority has answered and nobody knows a newer
// revision.
func (p *Poll) Majority() bool { return !p.newer && 2*p.yes > len(p.voters) }

// Newer reports whether a member knows a newer revision.
func (p *Poll) Newer() bool { return p.newer }
