package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fresh"
	"github.com/fescuestep/fescuestep/pkg/member"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Periods and bounds of the acceptor.
const (
	acceptCheck   = time.Second            // between looks for an unaccepted revision
	acceptRank    = 2 * time.Second        // delay per rank, so that one acceptor works at a time
	acceptors     = 3                      // members that advance the accepted revision
	gatherPause   = 100 * time.Millisecond // between rounds of collecting acknowledgements
	gatherTimeout = 300 * time.Millisecond
	candidates    = 4                // revisions followed at the same time
	acceptTimeout = 30 * time.Second // then the memberships are read again
	compactBatch  = 200              // rows deleted per transaction
)

// acceptLoop advances the accepted revision: at once for own changes, and for
// those of others when they stay unaccepted.
func (c *Controller) acceptLoop(ctx context.Context) error {
	ticker := time.NewTicker(acceptCheck)
	defer ticker.Stop()
	var since time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.accept:
			c.tryAccept(ctx)
			continue
		case <-ticker.C:
		}
		rank := c.acceptorRank()
		if rank < 0 || c.Accepted() >= c.Snapshot().Revision {
			since = c.now()
			continue
		}
		if c.now()-since >= acceptRank*time.Duration(rank+1) {
			c.tryAccept(ctx)
		}
	}
}

// acceptorRank returns the position of the instance among the acceptors, or -1.
func (c *Controller) acceptorRank() int {
	ranked := member.Rank(c.Snapshot().Members.Members, "acceptor", acceptors)
	return slices.IndexFunc(ranked, func(m config.Member) bool {
		return m.ID == c.o.Self.ID && m.Incarnation == c.o.Self.Incarnation
	})
}

func (c *Controller) tryAccept(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := c.acceptNewest(ctx); err != nil {
		c.o.Log.Debug("revision not accepted yet", "error", err)
	}
}

// acceptNewest waits until the newest revision is accepted and records that.
// Revisions that are committed meanwhile are followed at the same time: when all
// instances restart, each join would otherwise add a window to the wait.
func (c *Controller) acceptNewest(ctx context.Context) error {
	h, _, err := c.store.patient().head(ctx)
	if err != nil {
		return err
	}
	c.raiseAccepted(h.Accepted)
	var followed []*candidate
	looked := c.now()
	for h.Accepted < h.Revision {
		if n := len(followed); n == 0 || n < candidates && followed[n-1].Revision() < h.Revision {
			next, err := c.candidate(ctx)
			if err != nil {
				return err
			}
			followed = append(followed, next)
		}
		for i := len(followed) - 1; i >= 0; i-- {
			x := followed[i]
			c.gather(ctx, x.Acceptance, x.voters)
			if x.Accepted(c.now()) {
				followed = followed[i+1:]
				if err := c.recordAccepted(ctx, x.Revision(), x.members); err != nil {
					return err
				}
				break
			}
		}
		if c.now()-looked >= acceptCheck {
			looked = c.now()
			c.markUnlisted(ctx, followed)
		}
		if err := pause(ctx, gatherPause); err != nil {
			return errors.Wrap(err, "revision not accepted in time")
		}
		h.Accepted = c.Accepted()
		h.Revision = max(h.Revision, c.Snapshot().Revision)
	}
	return nil
}

// candidate is a revision that is to be accepted.
type candidate struct {
	*fresh.Acceptance
	voters  voters
	members uint64 // revision of its membership
}

// voters are the distinct member incarnations of some electorates by ID, oldest
// first.
type voters map[string][]config.Member

func votersOf(electorates []config.Membership) voters {
	v := voters{}
	for _, m := range electorates {
		for _, x := range m.Members {
			if !slices.Contains(v[x.ID], x) {
				v[x.ID] = append(v[x.ID], x)
			}
		}
	}
	return v
}

// candidate returns the newest revision with its electorates.
func (c *Controller) candidate(ctx context.Context) (*candidate, error) {
	h, _, err := c.store.patient().head(ctx)
	if err != nil {
		return nil, err
	}
	electorates, last, err := c.store.memberships(ctx, h, h.Revision)
	if err != nil {
		return nil, err
	}
	return &candidate{fresh.NewAcceptance(c.o.Params, h.Revision, electorates), votersOf(electorates), last}, nil
}

// recordAccepted raises the accepted revision in the head row.
func (c *Controller) recordAccepted(ctx context.Context, revision, members uint64) error {
	for {
		h, row, err := c.store.patient().head(ctx)
		if err != nil {
			return err
		}
		if h.Accepted >= revision {
			c.raiseAccepted(h.Accepted)
			return nil
		}
		h.Accepted, h.Members = revision, members
		err = c.writeHead(ctx, row, h, c.outdated(ctx, h)...)
		if err == nil {
			c.raiseAccepted(revision)
			return nil
		}
		// After a conflict or a lost answer the head tells what happened.
		c.o.Log.Debug("accepted revision not recorded", "revision", revision, "error", err)
		if err := pause(ctx, c.jitter(conflictPause)); err != nil {
			return err
		}
	}
}

// outdated returns deletions of change rows that nobody needs: instances that
// are further behind load the state rows.
func (c *Controller) outdated(ctx context.Context, h head) []external.Write {
	if h.Revision <= c.o.ChangeRows {
		return nil
	}
	limit := min(h.Revision-c.o.ChangeRows, h.Accepted)
	rows, err := c.store.table.Scan(ctx, changePrefix, "", compactBatch)
	if err != nil {
		return nil
	}
	var out []external.Write
	for _, row := range rows {
		revision, err := changeRevision(row.Key)
		if err == nil && revision < limit && revision != h.Members {
			out = append(out, external.Write{Key: row.Key, Delete: true})
		}
	}
	return out
}

// gather collects acknowledgements, first those that the relays hold, then from
// the members that are missing. A member that is behind learns by the request
// that there is news.
func (c *Controller) gather(ctx context.Context, a *fresh.Acceptance, all voters) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	own, _ := c.Acknowledgements(ctx, nil) // holds the own one although this may be no relay
	for _, x := range own.GetAcknowledgements() {
		a.RecordAcknowledgement(c.now(), x.Id, x.Incarnation, x.Revision, x.Clear)
	}
	c.fromRelays(ctx, a)
	missing := c.unsettled(a, all)
	votes := c.askAll(ctx, missing)
	for range missing {
		v := <-votes
		// A member that the revision removes acknowledges it too.
		a.RecordAcknowledgement(c.now(), v.id, v.incarnation, v.statement.Revision, v.statement.GrantsExpired)
		all.markReplaced(c.now(), a, v)
	}
	all.markReplaced(c.now(), a, vote{addr: c.o.Self.PeerAddr, id: c.o.Self.ID, incarnation: c.o.Self.Incarnation})
}

// unsettled returns the members to ask, one per ID with its newest address.
func (c *Controller) unsettled(a *fresh.Acceptance, all voters) []config.Member {
	newest := map[string]config.Member{}
	for _, x := range c.Snapshot().Members.Members {
		newest[x.ID] = x
	}
	var out []config.Member
	for _, id := range a.Unsettled() {
		if id == c.o.Self.ID {
			continue
		}
		x, ok := newest[id]
		if known := all[id]; !ok {
			x = known[len(known)-1]
		}
		out = append(out, x)
	}
	return out
}

// markReplaced marks the predecessors of an incarnation that answered at their
// address. Only one process can listen there, and a stopping one answers
// nothing, so the answer is never from an older incarnation.
func (all voters) markReplaced(now time.Duration, a *fresh.Acceptance, v vote) {
	for _, x := range all[v.id] {
		if v.addr == x.PeerAddr && v.incarnation != x.Incarnation {
			a.RecordGone(now, x.ID, x.Incarnation)
		}
	}
}

// markUnlisted marks members that the platform has not listed for the grace
// period: it ended them. A leaving instance is still listed and may be fresh.
func (c *Controller) markUnlisted(ctx context.Context, followed []*candidate) {
	listed := map[string]bool{}
	for _, x := range c.routers(ctx) {
		listed[x.ID] = true
	}
	if len(listed) == 0 {
		return
	}
	for _, a := range followed {
		for _, incarnations := range a.voters {
			for _, x := range incarnations {
				key := member.IncarnationKey{ID: x.ID, Incarnation: x.Incarnation}
				if c.unlisted.RecordListing(c.now(), key, listed[x.ID]) {
					a.RecordGone(c.now(), x.ID, x.Incarnation)
				}
			}
		}
	}
}

// fromRelays collects what the relays of all domains hold, all at the same time
// because one that is cut off answers only with a timeout.
func (c *Controller) fromRelays(ctx context.Context, a *fresh.Acceptance) {
	var relays []config.Member
	s := c.Snapshot()
	for _, domain := range member.Domains(s.Members) {
		relays = append(relays, member.Relays(s.Members, domain)...)
	}
	answers := make(chan *rpc.AcknowledgementsResponse, len(relays))
	for _, relay := range relays {
		go func() {
			resp, _ := c.acknowledgementsOf(ctx, relay)
			answers <- resp
		}()
	}
	for range relays {
		for _, x := range (<-answers).GetAcknowledgements() {
			a.RecordAcknowledgement(c.now(), x.Id, x.Incarnation, x.Revision, x.Clear)
		}
	}
}

func (c *Controller) acknowledgementsOf(ctx context.Context, m config.Member) (*rpc.AcknowledgementsResponse, error) {
	if m.ID == c.o.Self.ID {
		return c.Acknowledgements(ctx, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout/2)
	defer cancel()
	return c.o.Peers.Peer(m.PeerAddr).Acknowledgements(ctx, &rpc.AcknowledgementsRequest{})
}

// Progress reports whether a revision is accepted and which members have not
// acknowledged it. After acceptance these are members that are cut off: they
// serve only customers with when_unconfirmed: serve_last_known, and do so by
// an older revision.
func (c *Controller) Progress(ctx context.Context, revision uint64) (accepted bool, pending []string, err error) {
	electorates := []config.Membership{c.Snapshot().Members}
	accepted = c.Accepted() >= revision
	if !accepted {
		h, _, err := c.store.patient().head(ctx)
		if err != nil {
			return false, nil, err
		}
		c.raiseAccepted(h.Accepted)
		accepted = h.Accepted >= revision
		electorates, _, err = c.store.memberships(ctx, h, min(revision, h.Revision))
		if err != nil {
			return false, nil, err
		}
	}
	a := fresh.NewAcceptance(c.o.Params, revision, electorates)
	c.gather(ctx, a, votersOf(electorates))
	return accepted, a.Unacknowledged(), nil
}
