package quota

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/member"
)

// Holder holds this instance's shares of all customers. It is not safe for
// concurrent use. The caller must charge requests and issue grants only while the
// instance is fresh.
type Holder struct {
	id, incarnation string
	lease           time.Duration

	accounts map[string]*customerAccount
	// unknownPast stands for the unknown shares before the first snapshot or a gap
	// in the revisions. It expires like any other record.
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

// NewHolder returns the holder of a starting instance. It has no tokens until the
// revision in which the instance became a holder is accepted and a lease has passed
// since, because earlier holders or incarnations may still use the shares.
func NewHolder(id, incarnation string, lease time.Duration) *Holder {
	return &Holder{
		id: id, incarnation: incarnation, lease: lease,
		accounts:    map[string]*customerAccount{},
		unknownPast: shareHistory{{absentOrUnknown: true}},
		senders:     map[senderKey]*sequenceWindow{},
	}
}

// OnSnapshot applies a snapshot. Snapshots must arrive in order of revision.
// contiguous is false when the instance missed revisions before this one, so that
// it does not know which shares they gave to other instances.
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

// markPastUnknown treats all shares before the revision as unknown. Revision 0 is
// never accepted by itself, so the unknown shares before it end with revision 1.
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
		// No instance held a share of a customer that did not exist, so the bucket
		// can start full.
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

// OnAccepted records that a revision is accepted. It must be called at regular
// intervals, also with an unchanged revision, because shares grow when leases of
// earlier records expire.
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

// removeExpired deletes the account of a removed customer one lease after its
// first call, when none of the customer's grants can be in use.
func (h *Holder) removeExpired(now time.Duration, id string, a *customerAccount) {
	r := &a.shares[0]
	if !r.endAccepted {
		r.endAccepted, r.endAcceptedAt = true, now
		return
	}
	if r.expired(now, h.lease) {
		delete(h.accounts, id)
	}
}

// Grant is a number of tokens that a holder gives to another instance until a lease
// expires.
type Grant struct {
	Customer  string
	Tokens    int
	Number    uint64
	GrantedAt time.Duration // holder's clock
	Level     int           // tokens left in the holder's bucket
	Share     Share         // the holder's share
}

// IssueGrant grants up to the given number of tokens to another instance. The grant
// has 0 tokens if the bucket is empty or the customer is unknown.
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

// Charge charges up to the given number of tokens to a request of this instance. It
// returns the number of tokens charged.
func (h *Holder) Charge(now time.Duration, customer string, tokens int) int {
	a, ok := h.accounts[customer]
	if !ok {
		return 0
	}
	return a.bucket.deduct(now, tokens)
}

// Level returns the tokens in this instance's bucket for a customer and its share of
// the customer's quota.
func (h *Holder) Level(now time.Duration, customer string) (int, Share) {
	a, ok := h.accounts[customer]
	if !ok {
		return 0, Share{}
	}
	a.bucket.advance(now)
	return int(a.bucket.level), a.bucket.share
}

// Refund returns tokens that Charge deducted at since, as far as the bucket would
// have had room for them all the time.
func (h *Holder) Refund(now time.Duration, customer string, tokens int, since time.Duration) {
	if a, ok := h.accounts[customer]; ok && tokens > 0 {
		a.bucket.credit(now, since, float64(tokens))
	}
}

// Settlement tells a holder what became of a part of a grant.
type Settlement struct {
	Customer    string
	GrantNumber uint64
	GrantedAt   time.Duration // copied from the grant
	Unused      int           // tokens returned
	Spent       int           // tokens charged to requests
	SpentSince  time.Duration // when Unused had been reported as spent, 0 if never; holder's clock
}

// HandleSettlements applies the settlements of one message from another instance.
// It drops a message that is repeated or overtaken too far, and returns false.
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
	late, since := float64(s.Unused), s.SpentSince
	if since == 0 {
		late = a.bucket.settle(now, s.GrantNumber, float64(s.Unused), float64(s.Spent))
		since = s.GrantedAt + h.lease
	}
	if late > 0 {
		a.bucket.credit(now, since, late)
	}
}
