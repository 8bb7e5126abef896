// Package order decides how an order (a call that must not run twice) is
// claimed, sent at most once, recorded and answered. It does no I/O: Call is a
// state machine that returns the next Action, and pkg/controller/orders performs
// the action and passes its result to Call.
//
// Rules:
//   - An order is sent only by the call whose claim the table holds, at most
//     once, and only within the claim window, so that a paused instance does
//     not send an order that an operator has resolved in the meantime.
//   - After a table write of unknown outcome the row is read back and its token
//     compared with that of the claim.
//   - When it is certain that no byte was sent, the claim is released and the
//     caller is told that the order did not run.
//   - A response that arrived is returned to the caller even when its record
//     cannot be written; the write is retried in the background.
//   - A second call with the same key gets the recorded response, waits a bounded
//     time while the order runs, or is told that the outcome is unknown. The
//     same key with a different request is refused.
//
// An order takes two table writes: the claim and the record.
package order

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
)

// RowPrefix is the prefix of all order rows in the table.
const RowPrefix = "order/"

// State is the state of an order row.
type State string

// States of an order row. A released claim has no row.
const (
	StateClaimed State = "claimed" // the owner has sent the order or is about to
	StateDone    State = "done"    // the response is recorded
	StateUnknown State = "unknown" // sent, but no response arrived
	StateRan     State = "ran"     // an operator found that it ran
	StateNotRun  State = "not_run" // an operator found that it did not run; the next call claims it
)

// Fingerprint is the SHA-256 digest of a request's method, path and body.
type Fingerprint [sha256.Size]byte

// MarshalText encodes the digest as hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(f[:])), nil }

// UnmarshalText decodes a hexadecimal digest.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text)
	return err
}

// Request identifies an order and the request that calls it.
type Request struct {
	KeySpace    string // namespace of the key
	Key         string // idempotency key, the order number
	Fingerprint Fingerprint
	Timeout     time.Duration // of the upstream's response
}

// RowKey returns the key of the order's row. The order number itself is not
// stored.
func (q Request) RowKey() string {
	digest := sha256.Sum256([]byte(q.Key))
	return RowPrefix + url.PathEscape(q.KeySpace) + "/" + hex.EncodeToString(digest[:])
}

// Outcome is the result of sending an order.
type Outcome struct {
	Response *chain.Response // the upstream's response, or nil
	Err      *code.Error     // set when Response is nil
	NotSent  bool            // no byte can have reached the upstream; Err is set
}

// Record is the value of an order row.
type Record struct {
	State       State           `json:"state"`
	Fingerprint Fingerprint     `json:"fingerprint"`
	Token       string          `json:"token"` // unique per claim
	Owner       string          `json:"owner"` // ID of the instance that claimed the order
	ClaimedAt   time.Time       `json:"claimed"`
	ExpiresAt   time.Time       `json:"expires"` // the owner answers its caller by then or not at all
	FinishedAt  time.Time       `json:"finished,omitzero"`
	Response    *chain.Response `json:"response,omitempty"`
	ObjectKey   string          `json:"object,omitempty"` // of the object that holds the response's body
	BodyLost    bool            `json:"lost,omitempty"`   // the response's body could not be stored
	ResolvedBy  string          `json:"found_by,omitempty"`
	Note        string          `json:"note,omitempty"`
}

// Encode returns the row value.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: all field types can be encoded
	}
	return data
}

// Decode parses a row value.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "order row")
}

// Reference returns the identifier by which callers and operators refer to the
// order of a row.
func Reference(rowKey string) string { return strings.TrimPrefix(rowKey, RowPrefix) }

// RowKeyFromReference returns the row key of a reference.
func RowKeyFromReference(reference string) string { return RowPrefix + reference }

// Errors of Resolve.
var (
	ErrOutcomeKnown = errors.New("the order is not unresolved")
	ErrStillRunning = errors.New("the order may still be running")
)

// Unresolved reports whether an operator has to resolve the order: its outcome
// is unknown, or its claim expired more than margin ago.
func (r Record) Unresolved(now time.Time, margin time.Duration) bool {
	return r.State == StateUnknown || r.State == StateClaimed && now.After(r.ExpiresAt.Add(margin))
}

// Resolve returns the record with the finding of the operator resolvedBy.
// margin is added to the expiry of a claim to allow for clock skew between
// instances. It returns ErrStillRunning for a claim that has not expired and
// ErrOutcomeKnown for an order that needs no resolution.
func Resolve(r Record, ran bool, resolvedBy, note string, now time.Time, margin time.Duration) (Record, error) {
	if r.State == StateClaimed && !r.Unresolved(now, margin) {
		return r, errors.Wrapf(ErrStillRunning, "until %s", r.ExpiresAt.Add(margin).Format(time.RFC3339))
	}
	if !r.Unresolved(now, margin) {
		return r, errors.Wrapf(ErrOutcomeKnown, "its state is %s", r.State)
	}
	r.State = StateNotRun
	if ran {
		r.State = StateRan
	}
	r.FinishedAt = now
	r.ResolvedBy = resolvedBy
	r.Note = note
	return r, nil
}

// Removable reports whether the order is finished and its retention period has
// passed. Orders whose outcome is unknown are kept until they are resolved.
func (r Record) Removable(now time.Time, retention time.Duration) bool {
	finished := r.State == StateDone || r.State == StateRan || r.State == StateNotRun
	return finished && now.After(r.FinishedAt.Add(retention))
}
