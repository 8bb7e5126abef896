package configsync

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fresh"
	"github.com/fescuestep/fescuestep/pkg/member"
)

// Periods and bounds of the start.
const (
	startupPause = 100 * time.Millisecond
	// relayTries is how often a starting instance asks peers before it reads the
	// table although it is no relay.
	relayTries  = 20
	listTimeout = 500 * time.Millisecond
	pollWorkers = 32 // concurrent calls of one poll
)

// startup tries once to obtain state. Only the instances that the platform's
// list makes relays of their domain read the table at once; the others ask
// peers first, so that a herd of restarts costs few table reads.
func (f *follower) startup(ctx context.Context) time.Duration {
	f.tries++
	listed := f.listed(ctx)
	relays := member.Relays(config.Membership{Members: listed}, f.o.Self.Domain)
	first := len(relays) == 0 || holds(relays, f.o.Self.ID)
	if first || f.tries > relayTries {
		if f.now()-f.lastTable >= tableInterval && f.tryTable(ctx) {
			return 0
		}
	}
	f.askAny(ctx, member.RelayOrder(relays, f.o.Self.ID))
	if !f.HasState() && (f.tableDown || f.tries > relayTries) {
		f.askAny(ctx, f.shuffled(listed))
	}
	if f.HasState() {
		return 0
	}
	return startupPause + f.jitter(startupPause)
}

// listed returns the live router instances of the platform's list in the form of
// members without incarnation.
func (c *Controller) listed(ctx context.Context) []config.Member {
	var out []config.Member
	for _, x := range c.routers(ctx) {
		if x.State == external.Live {
			out = append(out, config.Member{ID: x.ID, PeerAddr: x.Addr, Domain: x.Domain})
		}
	}
	return out
}

// routers returns all router instances of the platform's list, also those that
// are leaving.
func (c *Controller) routers(ctx context.Context) []external.Instance {
	if c.o.List == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := c.o.List.List(ctx)
	if err != nil {
		c.o.Log.Debug("instance list unavailable", "error", err)
	}
	var out []external.Instance
	for _, x := range instances {
		if x.Pool == external.RouterPool {
			out = append(out, x)
		}
	}
	return out
}

func (c *Controller) shuffled(members []config.Member) []config.Member {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	c.o.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// pollMajority asks the members of the held revision whether they know a newer
// one.
func (c *Controller) pollMajority(ctx context.Context) bool {
	c.mu.Lock()
	s := c.held()
	poll := fresh.NewPoll(c.now(), s.Revision, s.Members)
	if c.tracker.IsMember() {
		poll.RecordAnswer(c.o.Self.ID, c.o.Self.Incarnation, fresh.Statement{Revision: s.Revision, Member: true})
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	newer := c.collect(ctx, poll, c.shuffled(append([]config.Member(nil), s.Members.Members...)))
	if poll.HasMajority() {
		return c.install(&update{}, func(t *fresh.Tracker) { t.RecordMajority(poll.Sent, poll.Revision) }) == nil
	}
	if newer != "" {
		_, _ = c.syncWith(ctx, newer)
		notify(c.kick)
	}
	return false
}

// vote is a member's answer to a poll.
type vote struct {
	addr, id, incarnation string
	statement             fresh.Statement
}

// collect fills the poll until it is decided and returns the address of a
// member that knows a newer revision.
func (c *Controller) collect(ctx context.Context, poll *fresh.Poll, voters []config.Member) (newer string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	votes := c.askAll(ctx, voters)
	for range voters {
		v := <-votes
		poll.RecordAnswer(v.id, v.incarnation, v.statement)
		if poll.HasNewer() {
			return v.addr
		}
		if poll.HasMajority() {
			return ""
		}
	}
	return ""
}

// askAll sends a status request to every voter except itself. The channel
// receives one vote per voter, an empty one for those that do not answer.
func (c *Controller) askAll(ctx context.Context, voters []config.Member) <-chan vote {
	votes := make(chan vote, len(voters))
	work := make(chan config.Member, len(voters))
	for _, m := range voters {
		work <- m
	}
	close(work)
	for range min(pollWorkers, len(voters)) {
		go func() {
			for m := range work {
				votes <- c.ask(ctx, m)
			}
		}()
	}
	return votes
}

func (c *Controller) ask(ctx context.Context, m config.Member) vote {
	if m.ID == c.o.Self.ID || ctx.Err() != nil {
		return vote{}
	}
	resp, err := c.o.Peers.Peer(m.PeerAddr).Sync(ctx, c.request(true))
	if err != nil {
		return vote{}
	}
	s := fresh.Statement{Revision: resp.Revision, Member: resp.Member, GrantsExpired: resp.Clear}
	return vote{addr: m.PeerAddr, id: resp.Id, incarnation: resp.Incarnation, statement: s}
}
