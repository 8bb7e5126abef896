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

	accounts map[string]*customerAccount
	// unknownPast is the unknown history before the first snapshot or a gap. It ends
	// like any other claim.
	unknownPast     shareHistory
	lastGrantNumber uint64
	latestRevision  uint64 // revision of the newest snapshot
	senders         map[senderKey]*sequenceWindow
}

type customerAccount struct {
	bucket bucket
	shares shareHistory
}

type senderKey struct{ id, incarnation string }

// NewHolder returns the holder of a starting instance: it grants nothing until
// the revision in which it became a holder is accepted and a lease has passed.
func NewHolder(id, incarnation string, lease time.Duration) *Holder {
	return &Holder{
		id: id, incarnation: incarnation, lease: lease,
		accounts:    map[string]*customerAccount{},
		unknownPast: shareHistory{{absentOrUnknown: true}},
		senders:     map[senderKey]*sequenceWindow{},
	}
}

// OnSnapshot puts a snapshot in force. Snapshots come in order; contiguous is
// false when revisions in between were not seen, so that shares they gave to
// others are unknown.
func (h *Holder) OnSnapshot(now time.Duration, s *config.Snapshot, contiguous bool) {
	if !contiguous {
		h.markPastUnknown(s.Revision)
	}
	h.latestRevision = s.Revision
	seen := map[string]bool{}
	for _, d := range s.Deployments {
		for i := range d.Customers {
			c := &d.Customers[i]
			seen[c.ID] = true
			h.updateShare(now, s.Revision, c.ID, shareRecord{share: h.shareOf(s.Members, c)})
		}
	}
	for id := range h.accounts {
		if !seen[id] {
			h.updateShare(now, s.Revision, id, shareRecord{absentOrUnknown: true})
		}
	}
}

// markPastUnknown makes everything before the revision unknown. Revision 0 is never
// accepted by itself, so its past ends with revision 1.
func (h *Holder) markPastUnknown(revision uint64) {
	revision = max(1, revision)
	h.unknownPast = shareHistory{{absentOrUnknown: true, endRevision: revision}}
	for _, a := range h.accounts {
		a.shares.appendShare(revision, shareRecord{absentOrUnknown: true, endRevision: revision})
	}
}

func (h *Holder) updateShare(now time.Duration, revision uint64, id string, next shareRecord) {
	a, ok := h.accounts[id]
	if !ok {
		a = &customerAccount{shares: append(shareHistory(nil), h.unknownPast...)}
		a.bucket.refilledAt = now
		h.accounts[id] = a
	}
	isNew := !ok && len(h.unknownPast) == 0
	a.shares.appendShare(revision, next)
	a.bucket.setShare(now, a.shares.minShare())
	if isNew {
		// Nobody held a share of a customer that did not exist.
		a.bucket.level = a.bucket.share.Burst
		a.bucket.history.record(now, 0)
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
	h.unknownPast.acceptRevision(now, h.lease, revision)
	for id, a := range h.accounts {
		if a.shares.hasSingleRecord() && !a.shares[0].absentOrUnknown {
			continue
		}
		a.shares.acceptRevision(now, h.lease, revision)
		a.bucket.setShare(now, a.shares.minShare())
		if a.shares.hasSingleRecord() && a.shares[0].absentOrUnknown && revision >= h.latestRevision {
			h.removeExpired(now, id, a)
		}
	}
}

// removeExpired drops the account of a removed customer once none of its grants can
// be in use.
func (h *Holder) removeExpired(now time.Duration, id string, a *customerAccount) {
	c := &a.shares[0]
	if !c.endAccepted {
		c.endAccepted, c.endAcceptedAt = true, now
		return
	}
	if c.expired(now, h.lease) {
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

// IssueGrant grants up to tokens to another instance.
func (h *Holder) IssueGrant(now time.Duration, customer string, tokens int) Grant {
	g := Grant{Customer: customer, GrantedAt: now}
	a, ok := h.accounts[customer]
	if !ok {
		return g
	}
	h.lastGrantNumber++
	g.Number = h.lastGrantNumber
	g.Tokens = a.bucket.issueGrant(now, tokens, g.Number, h.lease)
	g.Level = int(a.bucket.level)
	g.Share = a.bucket.share
	return g
}

// Charge charges up to tokens to a request of this instance. It returns the
// number of tokens charged.
func (h *Holder) Charge(now time.Duration, customer string, tokens int) int {
	a, ok := h.accounts[customer]
	if !ok {
		return 0
	}
	return a.bucket.deduct(now, tokens)
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

// Refund gives back tokens that were spent here at since.
func (h *Holder) Refund(now time.Duration, customer string, tokens int, since time.Duration) {
	if a, ok := h.accounts[customer]; ok && tokens > 0 {
		a.bucket.credit(now, since, float64(tokens))
	}
}

// Settlement reports about a part of a grant.
type Settlement struct {
	Customer    string
	GrantNumber uint64
	GrantedAt   time.Duration // as in the grant
	Unused      int           // tokens given back
	Spent       int           // tokens charged to requests
	SpentSince  time.Duration // when Unused was reported spent, 0 if never
}

// HandleSettlements processes one message of settlements. It reports false for a repeated
// message, which it drops.
func (h *Holder) HandleSettlements(now time.Duration, id, incarnation string, sequence uint64, settlements []Settlement) bool {
	if !h.senderWindow(id, incarnation).accept(sequence, now) {
		return false
	}
	for _, s := range settlements {
		h.applySettlement(now, s)
	}
	return true
}

func (h *Holder) applySettlement(now time.Duration, s Settlement) {
	a, ok := h.accounts[s.Customer]
	if !ok || s.Unused < 0 || s.Spent < 0 {
		return
	}
	rest, since := float64(s.Unused), s.SpentSince
	if since == 0 {
		rest = a.bucket.settle(now, s.GrantNumber, float64(s.Unused), float64(s.Spent))
		since = s.GrantedAt + h.lease
	}
	if rest > 0 {
		a.bucket.credit(now, since, rest)
	}
}
