package quota

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/member"
)

// Holder holds this instance's shares of all customers. It is not safe for
// concurrent use. The caller grants only while the instance is fresh.
type Holder struct {
	id, incarnation string
	lease           time.Duration

	accounts map[string]*account
	// past is the unknown history before the first snapshot or a gap. It ends
	// like any other claim.
	past    claims
	number  uint64
	latest  uint64 // revision of the newest snapshot
	senders map[sender]*window
}

type account struct {
	bucket bucket
	claims claims
}

type sender struct{ id, incarnation string }

// NewHolder returns the holder of a starting instance: it grants nothing until
// the revision in which it became a holder is accepted and a lease has passed.
func NewHolder(id, incarnation string, lease time.Duration) *Holder {
	return &Holder{
		id: id, incarnation: incarnation, lease: lease,
		accounts: map[string]*account{},
		past:     claims{{notThere: true}},
		senders:  map[sender]*window{},
	}
}

// OnSnapshot puts a snapshot in force. Snapshots come in order; contiguous is
// false when revisions in between were not seen, so that shares they gave to
// others are unknown.
func (h *Holder) OnSnapshot(now time.Duration, s *config.Snapshot, contiguous bool) {
	if !contiguous {
		h.forgetPast(s.Revision)
	}
	h.latest = s.Revision
	seen := map[string]bool{}
	for _, d := range s.Deployments {
		for i := range d.Customers {
			c := &d.Customers[i]
			seen[c.ID] = true
			h.update(now, s.Revision, c.ID, claim{share: h.shareOf(s.Members, c)})
		}
	}
	for id := range h.accounts {
		if !seen[id] {
			h.update(now, s.Revision, id, claim{notThere: true})
		}
	}
}

// forgetPast makes everything before the revision unknown. Revision 0 is never
// accepted by itself, so its past ends with revision 1.
func (h *Holder) forgetPast(revision uint64) {
	revision = max(1, revision)
	h.past = claims{{notThere: true, end: revision}}
	for _, a := range h.accounts {
		a.claims.add(revision, claim{notThere: true, end: revision})
	}
}

func (h *Holder) update(now time.Duration, revision uint64, id string, next claim) {
	a, ok := h.accounts[id]
	if !ok {
		a = &account{claims: append(claims(nil), h.past...)}
		a.bucket.at = now
		h.accounts[id] = a
	}
	isNew := !ok && len(h.past) == 0
	a.claims.add(revision, next)
	a.bucket.setShare(now, a.claims.share())
	if isNew {
		// Nobody held a share of a customer that did not exist.
		a.bucket.level = a.bucket.share.Burst
		a.bucket.history.add(now, 0)
	}
}

// shareOf returns the share that a membership gives to this incarnation.
func (h *Holder) shareOf(m config.Membership, c *config.Customer) Share {
	holders := member.Holders(m, c.ID)
	for _, x := range holders {
		if x.ID == h.id && x.Incarnation == h.incarnation {
			k := float64(len(holders))
			return Share{Rate: c.RatePerSecond / k, Burst: c.Burst / k}
		}
	}
	return Share{}
}

// OnAccepted records that a revision is accepted. It is called regularly, since
// shares also grow with time.
func (h *Holder) OnAccepted(now time.Duration, revision uint64) {
	h.past.accept(now, h.lease, revision)
	for id, a := range h.accounts {
		if a.claims.settled() && !a.claims[0].notThere {
			continue
		}
		a.claims.accept(now, h.lease, revision)
		a.bucket.setShare(now, a.claims.share())
		if a.claims.settled() && a.claims[0].notThere && revision >= h.latest {
			h.forget(now, id, a)
		}
	}
}

// forget drops the account of a removed customer once none of its grants can
// be in use.
func (h *Holder) forget(now time.Duration, id string, a *account) {
	c := &a.claims[0]
	if !c.ended {
		c.ended, c.endedAt = true, now
		return
	}
	if c.over(now, h.lease) {
		delete(h.accounts, id)
	}
}

// Grant is tokens lent by a holder. Times are the holder's.
type Grant struct {
	Customer  string
	Tokens    int
	Number    uint64
	GrantedAt time.Duration
	Level     int // tokens left
	Share     Share
}

// Lend grants up to tokens to another instance.
func (h *Holder) Lend(now time.Duration, customer string, tokens int) Grant {
	g := Grant{Customer: customer, GrantedAt: now}
	a, ok := h.accounts[customer]
	if !ok {
		return g
	}
	h.number++
	g.Number = h.number
	g.Tokens = a.bucket.lend(now, tokens, g.Number, h.lease)
	g.Level = int(a.bucket.level)
	g.Share = a.bucket.share
	return g
}

// Spend charges up to tokens to a request of this instance. It returns the
// number of tokens charged.
func (h *Holder) Spend(now time.Duration, customer string, tokens int) int {
	a, ok := h.accounts[customer]
	if !ok {
		return 0
	}
	return a.bucket.take(now, tokens)
}

// Level returns the tokens and the share that the instance holds of a customer.
func (h *Holder) Level(now time.Duration, customer string) (int, Share) {
	a, ok := h.accounts[customer]
	if !ok {
		return 0, Share{}
	}
	a.bucket.advance(now)
	return int(a.bucket.level), a.bucket.share
}

// Unspend gives back tokens that were spent here at since.
func (h *Holder) Unspend(now time.Duration, customer string, tokens int, since time.Duration) {
	if a, ok := h.accounts[customer]; ok && tokens > 0 {
		a.bucket.credit(now, since, float64(tokens))
	}
}

// Settlement reports about a part of a grant.
type Settlement struct {
	Customer  string
	Number    uint64
	GrantedAt time.Duration // as in the grant
	Unused    int           // tokens given back
	Spent     int           // tokens charged to requests
	Since     time.Duration // when Unused was reported spent, 0 if never
}

// Return processes one message of settlements. It reports false for a repeated
// message, which it drops.
func (h *Holder) Return(now time.Duration, id, incarnation string, sequence uint64, settlements []Settlement) bool {
	if !h.window(id, incarnation).accept(sequence, now) {
		return false
	}
	for _, s := range settlements {
		h.settle(now, s)
	}
	return true
}

func (h *Holder) settle(now time.Duration, s Settlement) {
	a, ok := h.accounts[s.Customer]
	if !ok || s.Unused < 0 || s.Spent < 0 {
		return
	}
	rest, since := float64(s.Unused), s.Since
	if since == 0 {
		rest = a.bucket.settle(now, s.Number, float64(s.Unused), float64(s.Spent))
		since = s.GrantedAt + h.lease
	}
	if rest > 0 {
		a.bucket.credit(now, since, rest)
	}
}
