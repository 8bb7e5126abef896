package fresh

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Poll counts the answers of the members of one revision to the question whether
// they know a newer one.
type Poll struct {
	Sent     time.Duration
	Revision uint64

	answered map[identity]bool // by member; true once it has answered
	agreeing int
	newer    bool
}

// identity names one run of an instance.
type identity struct{ id, incarnation string }

// NewPoll returns a poll of the membership of a revision, started at sent by the
// instance's own monotonic clock.
func NewPoll(sent time.Duration, revision uint64, m config.Membership) *Poll {
	p := &Poll{Sent: sent, Revision: revision, answered: make(map[identity]bool, len(m.Members))}
	for _, x := range m.Members {
		p.answered[identity{x.ID, x.Incarnation}] = false
	}
	return p
}

// RecordAnswer records the statement of a member. It ignores repeated answers,
// statements of instances that are not members of their revision, and those of
// an incarnation other than the one in the membership: a predecessor may have
// acknowledged a newer revision, which the restarted instance doesn't know.
func (p *Poll) RecordAnswer(id, incarnation string, s Statement) {
	key := identity{id, incarnation}
	answered, member := p.answered[key]
	if !member || answered || !s.Member {
		return
	}
	p.answered[key] = true
	if s.Revision > p.Revision {
		p.newer = true
		return
	}
	p.agreeing++
}

// HasMajority reports whether a majority has answered and no answer named a
// newer revision.
func (p *Poll) HasMajority() bool { return !p.newer && 2*p.agreeing > len(p.answered) }

// HasNewer reports whether an answer named a newer revision.
func (p *Poll) HasNewer() bool { return p.newer }
