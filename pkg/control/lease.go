// Package control decides which instance sends control commands to upstreams (the
// leader lease with its fencing token) and which commands it sends (the rollout
// plan). It does no I/O. All times are durations since the start of the process
// on its monotonic clock.
package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/history"
)

// LeaseKey is the table row of the leader lease.
const LeaseKey = "lease/control"

// LeaseConfig holds the times of the lease. The clocks of instances need not be
// synchronized, but must run at about the same rate.
type LeaseConfig struct {
	TTL            time.Duration // validity, counted from sending the write
	RenewInterval  time.Duration // at most half the TTL, so that one lost write does not end the lease
	CommandTimeout time.Duration // timeout of one control command
	MaxClockDrift  time.Duration // margin for clocks that run at different rates
	ReadInterval   time.Duration // between reads by a candidate that does not hold the lease
	RetryDelay     time.Duration // minimum delay after a failed table call; jitter adds up to the same again
}

// DefaultLeaseConfig returns the times used in production. They replace a leader
// about 4.2 s after it crashed.
func DefaultLeaseConfig() LeaseConfig {
	return LeaseConfig{
		TTL: 3 * time.Second, RenewInterval: time.Second, CommandTimeout: time.Second,
		MaxClockDrift: 100 * time.Millisecond, ReadInterval: 500 * time.Millisecond, RetryDelay: 200 * time.Millisecond,
	}
}

// LeaseRow is the value of the lease row. SentAt is a reading of the holder's
// clock, so only the holder, whose name is unique per process start, may
// interpret it.
type LeaseRow struct {
	Holder   string        `json:"holder"`
	Token    uint64        `json:"token"` // increases at every takeover
	SentAt   time.Duration `json:"sent"`  // in ns, read before the write was sent
	Released bool          `json:"released,omitempty"`
}

// maxToken is far above the tokens in use, which begin at the era of the store times 2^32.
const maxToken = 1 << 62

// DecodeLease parses a lease row. A missing row, which has version 0, gives the
// zero value. It returns an error for a row without a holder or token.
func DecodeLease(row external.Row) (LeaseRow, error) {
	var lease LeaseRow
	if row.Version == 0 {
		return lease, nil
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return LeaseRow{}, errors.Wrap(err, "lease row is not valid")
	}
	if lease.Holder == "" || lease.Token == 0 || lease.Token > maxToken {
		return LeaseRow{}, errors.New("lease row has no holder or no token")
	}
	return lease, nil
}

// LeaseStepKind is the kind of table call that a LeaseStep asks for.
type LeaseStepKind int

// Kinds of lease steps.
const (
	LeaseIdle   LeaseStepKind = iota // no table call
	LeaseRead                        // read LeaseKey, then call ReadDone
	LeaseCommit                      // commit Txn, then call CommitDone
)

// LeaseStep is the next table call of a lease.
type LeaseStep struct {
	Kind LeaseStepKind
	Txn  external.Txn
}

// eraTokenShift sets the tokens of different eras apart, see nextToken.
const eraTokenShift = 32

// Lease is one candidate's view of the leader lease. At most one table call is in
// flight at a time.
//
// When the store comes back from an older copy, in a new era, the lease row is one of
// the past: another instance may hold a lease that the copy lacks, and versions in
// conditions may be given out twice. A candidate that sees a new era therefore drops
// its lease, and nobody takes it over before every lease of the earlier era has ended.
type Lease struct {
	cfg  LeaseConfig
	self string

	era       uint64        // of the store; 0 if it states none
	eraSeenAt time.Duration // when era was first seen

	loaded   bool // at and row were read in era
	at       history.Position
	row      LeaseRow
	atSeenAt time.Duration // when at was first seen
	readAt   time.Duration
	rowErr   error // why the row last read is not valid, or nil

	inFlight   bool
	pending    LeaseRow
	retryAt    time.Duration
	mustReread bool // the row must be read back, for example after a commit of unknown outcome
	suspended  bool // an upstream rejected the token as stale and the row was not read since
	releasing  bool // a release was sent and may take effect at any time, see Release
}

// NewLease returns the lease of the candidate self, a name that must be unique
// per process start.
func NewLease(cfg LeaseConfig, self string) *Lease {
	return &Lease{cfg: cfg, self: self}
}

// Next returns the next table call. candidate tells whether this instance may
// take over the lease.
func (l *Lease) Next(now time.Duration, rng *rand.Rand, candidate bool) LeaseStep {
	switch {
	case l.inFlight || now < l.retryAt:
		return LeaseStep{}
	case !candidate && !l.heldBySelf():
		return LeaseStep{}
	case !l.loaded || l.mustReread:
		return l.read()
	case l.rowErr == nil && l.heldBySelf() && now >= l.row.SentAt+l.cfg.RenewInterval:
		return l.commit(rng, LeaseRow{Holder: l.self, Token: l.row.Token, SentAt: now})
	case l.canTakeOver(now):
		return l.commit(rng, LeaseRow{Holder: l.self, Token: l.nextToken(), SentAt: now})
	case now >= l.readAt+l.cfg.ReadInterval && !l.heldBySelf():
		return l.read()
	}
	return LeaseStep{}
}

// ObserveEra records the era of the store as seen at now, in this or another call.
func (l *Lease) ObserveEra(now time.Duration, era uint64) {
	if era <= l.era {
		return
	}
	l.era, l.eraSeenAt = era, now
	l.loaded, l.row, l.rowErr, l.releasing = false, LeaseRow{}, nil, false
}

// heldBySelf reports whether the row is of this candidate. A row of an earlier era,
// which a copy of the store brought back, counts as that of another.
func (l *Lease) heldBySelf() bool {
	return l.loaded && l.row.Holder == l.self && !l.row.Released && l.sentInEra(l.row)
}

func (l *Lease) sentInEra(row LeaseRow) bool { return l.era == 0 || row.SentAt >= l.eraSeenAt }

// takeoverWait is how long after the last sign of a holder its commands may be in
// flight.
func (l *Lease) takeoverWait() time.Duration {
	return l.cfg.TTL + l.cfg.CommandTimeout + l.cfg.MaxClockDrift
}

// canTakeOver reports whether the lease may be taken over: it was never held, it
// was released, or its row has not changed for as long as commands of its holder
// can be in flight. In a new era a holder of the earlier one may act for as long. A row
// that another writer has spoiled ends the lease of its holder like a takeover does.
func (l *Lease) canTakeOver(now time.Duration) bool {
	switch {
	case l.heldBySelf():
		return false
	case l.era > 0 && now < l.eraSeenAt+l.takeoverWait():
		return false
	case l.at.Version == 0 || l.row.Released:
		return true
	}
	return now >= l.atSeenAt+l.takeoverWait()
}

// nextToken returns a token that no takeover had before. The row does not tell enough
// in a store that comes back from copies: its token may be lower than one in use. But
// the takeovers of an era succeed each on a higher version of the row, which is above
// their number. A row that is not valid tells nothing.
func (l *Lease) nextToken() uint64 {
	if l.era == 0 && l.rowErr == nil {
		return l.row.Token + 1
	}
	return max(l.row.Token+1, l.era<<eraTokenShift+l.at.Version)
}

func (l *Lease) read() LeaseStep {
	l.inFlight = true
	return LeaseStep{Kind: LeaseRead}
}

func (l *Lease) commit(rng *rand.Rand, row LeaseRow) LeaseStep {
	l.inFlight = true
	l.pending = row
	value, _ := json.Marshal(row)
	return LeaseStep{Kind: LeaseCommit, Txn: external.Txn{
		Token:      fmt.Sprintf("lease-%s-%016x", l.self, rng.Uint64()),
		Conditions: []external.Condition{{Key: LeaseKey, Version: l.at.Version}},
		Writes:     []external.Write{{Key: LeaseKey, Value: value}},
	}}
}

// ReadDone handles the result of a LeaseRead. Reading back a row that this
// candidate wrote proves that the commit took effect even if its answer was lost.
func (l *Lease) ReadDone(now time.Duration, rng *rand.Rand, row external.Row, err error) {
	l.inFlight = false
	if err != nil {
		l.scheduleRetry(now, rng)
		return
	}
	l.ObserveEra(now, row.Era)
	if row.Era < l.era {
		l.scheduleRetry(now, rng) // a late answer of an earlier era
		return
	}
	l.readAt = now
	l.mustReread, l.suspended = false, false
	at := history.Position{Era: row.Era, Version: row.Version}
	if l.loaded && at == l.at {
		return
	}
	l.loaded = true
	l.at = at
	l.atSeenAt = now
	l.row, l.rowErr = DecodeLease(row)
	l.releasing = l.releasing && l.heldBySelf()
}

// CommitDone handles the result of a LeaseCommit that was applied at a position. After
// a conflict or an unknown outcome the row is read back, and after a commit in another
// era, whose condition meant a version of this one.
func (l *Lease) CommitDone(now time.Duration, rng *rand.Rand, at history.Position, err error) {
	l.inFlight = false
	switch {
	case err == nil && at.Era == l.era && l.sentInEra(l.pending):
		l.at, l.row, l.rowErr, l.atSeenAt = at, l.pending, nil, now
		l.releasing = false
	case err == nil:
		l.ObserveEra(now, at.Era)
		l.mustReread = true
	case errors.Is(err, external.ErrUnavailable):
		l.scheduleRetry(now, rng)
	case errors.Is(err, external.ErrConflict):
		l.mustReread = true
	default:
		l.mustReread = true
		l.scheduleRetry(now, rng)
	}
}

func (l *Lease) scheduleRetry(now time.Duration, rng *rand.Rand) {
	l.retryAt = now + l.cfg.RetryDelay + time.Duration(rng.Int64N(int64(l.cfg.RetryDelay)+1))
}

// Held returns the fencing token and the time until which the lease is valid. A
// commit whose outcome is unknown does not extend it.
func (l *Lease) Held(now time.Duration) (token uint64, until time.Duration, ok bool) {
	until = l.row.SentAt + l.cfg.TTL
	if !l.mayBeHeld(now) || l.suspended || l.releasing {
		return 0, 0, false
	}
	return l.row.Token, until, true
}

// mayBeHeld reports whether the row, as last seen, is a valid lease of this candidate.
func (l *Lease) mayBeHeld(now time.Duration) bool {
	return l.heldBySelf() && l.rowErr == nil && now < l.row.SentAt+l.cfg.TTL
}

// Releasing reports whether the lease counts as not held since its release was sent,
// although the release may not have taken effect.
func (l *Lease) Releasing(now time.Duration) bool { return l.releasing && l.mayBeHeld(now) }

// MaySend reports whether the lease covers a command sent now. An upstream that
// checks the fencing token rejects a late command itself; for one that ignores
// the token, the lease must stay valid until the command times out.
func (l *Lease) MaySend(now time.Duration, checksFencing bool) bool {
	_, until, ok := l.Held(now)
	if !ok || checksFencing {
		return ok
	}
	return now+l.cfg.CommandTimeout <= until
}

// Suspend makes the lease count as not held until its row has been read again. It
// is called when an upstream rejects the token as stale.
func (l *Lease) Suspend() {
	l.suspended, l.mustReread = true, true
}

// Release returns the commit that releases the lease, or an idle step if the
// lease is not held or a table call is in flight. It must only be called when the
// outcome of every command is known, because a successor starts at once. From then on the
// lease counts as not held, whatever becomes of the answer, until a renewal succeeds: the
// release may take effect late, unless the row has changed since.
func (l *Lease) Release(now time.Duration, rng *rand.Rand) LeaseStep {
	if !l.mayBeHeld(now) || l.suspended || l.inFlight {
		return LeaseStep{}
	}
	l.releasing = true
	return l.commit(rng, LeaseRow{Holder: l.self, Token: l.row.Token, SentAt: now, Released: true})
}

// Condition is met while the row is the one last seen, so that a transaction with it takes
// effect only if no other candidate has taken over the lease.
func (l *Lease) Condition() external.Condition {
	return external.Condition{Key: LeaseKey, Version: l.at.Version}
}

// Err returns the error of decoding the lease row, or nil.
func (l *Lease) Err() error { return l.rowErr }
