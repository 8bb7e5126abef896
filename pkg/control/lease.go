// Package control decides who sends control commands (the leader lease with
// its fencing token) and which commands to send (the rollout plan). It does no
// I/O; times are durations since the start of the process on its monotonic
// clock.
package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
)

// LeaseKey is the table row of the leader lease.
const LeaseKey = "lease/control"

// LeaseConfig holds the times of the lease. Clocks of instances need not
// agree, only run at about the same speed.
type LeaseConfig struct {
	TTL            time.Duration // validity after a write was sent
	RenewInterval  time.Duration // at least twice per TTL, so that one lost write does no harm
	CommandTimeout time.Duration // of one control command
	MaxClockDrift  time.Duration // margin for clocks that run at different speeds
	ReadInterval   time.Duration // by candidates that do not hold the lease
	RetryDelay     time.Duration // after a failed table call, jittered up to twice this
}

// DefaultLeaseConfig returns the times used in production: a leader is
// replaced about 4.2 s after it crashed.
func DefaultLeaseConfig() LeaseConfig {
	return LeaseConfig{
		TTL: 3 * time.Second, RenewInterval: time.Second, CommandTimeout: time.Second,
		MaxClockDrift: 100 * time.Millisecond, ReadInterval: 500 * time.Millisecond, RetryDelay: 200 * time.Millisecond,
	}
}

// LeaseRow is the value of the lease row. Sent is on the holder's clock: only
// the holder, whose name is unique per process start, may interpret it.
type LeaseRow struct {
	Holder   string        `json:"holder"`
	Token    uint64        `json:"token"` // increases at every takeover
	SentAt   time.Duration `json:"sent"`  // ns, before the write was sent
	Released bool          `json:"released,omitempty"`
}

// DecodeLease parses a lease row. A missing row gives the zero value.
func DecodeLease(row external.Row) (LeaseRow, error) {
	var out LeaseRow
	if row.Version == 0 {
		return out, nil
	}
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return LeaseRow{}, errors.Wrap(err, "lease row is not valid")
	}
	if out.Holder == "" || out.Token == 0 {
		return LeaseRow{}, errors.New("lease row has no holder or no token")
	}
	return out, nil
}

// LeaseStepKind says what to do with the table.
type LeaseStepKind int

// Kinds of lease steps.
const (
	LeaseIdle   LeaseStepKind = iota
	LeaseRead                 // read LeaseKey, then call ReadDone
	LeaseCommit               // commit Txn, then call CommitDone
)

// LeaseStep is the next table call of a lease.
type LeaseStep struct {
	Kind LeaseStepKind
	Txn  external.Txn
}

// Lease is one candidate's view of the leader lease. At most one table call is
// under way at a time.
type Lease struct {
	cfg  LeaseConfig
	self string

	loaded        bool // the fields below were read
	version       uint64
	row           LeaseRow
	versionSeenAt time.Duration // when this version was first seen
	readAt        time.Duration
	rowErr        error // of the last read, when the row was not valid

	inFlight   bool
	pending    LeaseRow
	retryAt    time.Duration
	mustReread bool // the outcome of a commit must be read
	suspended  bool // an upstream has seen a newer token
}

// NewLease returns a candidate. The name must be unique per process start.
func NewLease(cfg LeaseConfig, self string) *Lease {
	return &Lease{cfg: cfg, self: self}
}

// Next returns the next table call; candidate says whether this instance may
// take the lease over.
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
	case l.rowErr == nil && l.canTakeOver(now):
		return l.commit(rng, LeaseRow{Holder: l.self, Token: l.row.Token + 1, SentAt: now})
	case now >= l.readAt+l.cfg.ReadInterval && !l.heldBySelf():
		return l.read()
	}
	return LeaseStep{}
}

func (l *Lease) heldBySelf() bool { return l.loaded && l.row.Holder == l.self && !l.row.Released }

// canTakeOver reports whether the lease may be taken over: nobody ever held it, it
// was released, or it has not changed for as long as commands of its holder
// can still be under way.
func (l *Lease) canTakeOver(now time.Duration) bool {
	if l.heldBySelf() {
		return false
	}
	if l.version == 0 || l.row.Released {
		return true
	}
	return now >= l.versionSeenAt+l.cfg.TTL+l.cfg.CommandTimeout+l.cfg.MaxClockDrift
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
		Conditions: []external.Condition{{Key: LeaseKey, Version: l.version}},
		Writes:     []external.Write{{Key: LeaseKey, Value: value}},
	}}
}

// ReadDone takes the result of a read. An own row that is read back proves
// that its commit took effect, whatever answer was lost.
func (l *Lease) ReadDone(now time.Duration, rng *rand.Rand, row external.Row, err error) {
	l.inFlight = false
	if err != nil {
		l.scheduleRetry(now, rng)
		return
	}
	l.readAt = now
	l.mustReread, l.suspended = false, false
	if l.loaded && row.Version == l.version {
		return
	}
	l.loaded = true
	l.version = row.Version
	l.versionSeenAt = now
	l.row, l.rowErr = DecodeLease(row)
}

// CommitDone takes the result of a commit. After a conflict or an unknown
// outcome the row is read back.
func (l *Lease) CommitDone(now time.Duration, rng *rand.Rand, version uint64, err error) {
	l.inFlight = false
	switch {
	case err == nil:
		l.version, l.row, l.versionSeenAt = version, l.pending, now
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

// Held returns the fencing token and until when the lease is valid. A commit
// whose outcome is unknown does not extend it.
func (l *Lease) Held(now time.Duration) (token uint64, until time.Duration, ok bool) {
	until = l.row.SentAt + l.cfg.TTL
	if !l.heldBySelf() || l.rowErr != nil || l.suspended || now >= until {
		return 0, 0, false
	}
	return l.row.Token, until, true
}

// MaySend reports whether a command sent now is covered by the lease. An
// upstream that checks the token rejects a late command itself; for one that
// ignores it, the lease must outlive the command's timeout.
func (l *Lease) MaySend(now time.Duration, checksFencing bool) bool {
	_, until, ok := l.Held(now)
	if !ok || checksFencing {
		return ok
	}
	return now+l.cfg.CommandTimeout <= until
}

// Suspend suspends the lease until the row was read again. It is called when an
// upstream rejects the token as stale.
func (l *Lease) Suspend() {
	l.suspended, l.mustReread = true, true
}

// Release returns the commit that gives the lease up, if it is held and no
// table call is under way. It must only be called when the outcome of every
// command is known: a successor starts at once.
func (l *Lease) Release(now time.Duration, rng *rand.Rand) LeaseStep {
	token, _, ok := l.Held(now)
	if !ok || l.inFlight {
		return LeaseStep{}
	}
	return l.commit(rng, LeaseRow{Holder: l.self, Token: token, SentAt: now, Released: true})
}

// Err returns why the row cannot be used, or nil. A row that is not valid is
// never taken over, because its token is unknown.
func (l *Lease) Err() error { return l.rowErr }
