package fresh

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Poll asks the members of one revision whether they know a newer one.
type Poll struct {
	Sent     time.Duration
	Revision uint64

	answered map[identity]bool // true once the voter has answered
	agreeing int
	newer    bool
}

type identity struct{ id, incarnation string }

// NewPoll starts a poll at sent about a revision with the membership.
func NewPoll(sent time.Duration, revision uint64, m config.Membership) *Poll {
	p := &Poll{Sent: sent, Revision: revision, answered: make(map[identity]bool, len(m.Members))}
	for _, x := range m.Members {
		p.answered[identity{x.ID, x.Incarnation}] = false
	}
	return p
}

// RecordAnswer records a member's statement. An incarnation other than the recorded
// one does not count: its predecessor may have acknowledged more than it
// remembers.
func (p *Poll) RecordAnswer(id, incarnation string, s Statement) {
	key := identity{id, incarnation}
	answered, voter := p.answered[key]
	if !voter || answered || !s.Member {
		return
	}
	p.answered[key] = true
	if s.Revision > p.Revision {
		p.newer = true
		return
	}
	p.agreeing++
}

// HasMajority reports whether a majority has answered and nobody knows a newer
// revision.
func (p *Poll) HasMajority() bool { return !p.newer && 2*p.agreeing > len(p.answered) }

// HasNewer reports whether a member knows a newer revision.
func (p *Poll) HasNewer() bool { return p.newer }
