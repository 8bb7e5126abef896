// Package order decides how an order (a call that must not run twice) is
// claimed, sent once, recorded and answered. It does no I/O: Call returns the
// next Action, and the shell in pkg/controller/orders reports what came of it.
//
// The rules:
//   - An order is sent only by the call whose claim the table holds, at most
//     once, and only within the claim window, so that a paused instance does
//     not send an order that an operator has resolved meanwhile.
//   - A lost answer of the table is resolved by reading the row back and
//     comparing the claim's token.
//   - When certainly no byte was sent, the claim is released and the caller is
//     told "not run".
//   - An answer that arrived is given to the caller even when the table does
//     not take the record; recording goes on in the background.
//   - A second call with the same key gets the recorded answer, waits a bounded
//     time while the order runs, or is told that the outcome is unknown. The
//     same key with another request is refused.
//
// An order costs two table writes: the claim and the record.
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

// State of an order row.
type State string

// States. A released claim has no row.
const (
	StateClaimed State = "claimed" // sent by its owner, or about to be
	StateDone    State = "done"    // the answer is recorded
	StateUnknown State = "unknown" // sent, no answer
	StateRan     State = "ran"     // an operator found that it ran
	StateNotRun  State = "not_run" // an operator found that it did not run; the next call claims it
)

// Fingerprint is the SHA-256 digest of method, path and body.
type Fingerprint [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler as hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(f[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text)
	return err
}

// Request identifies an order.
type Request struct {
	KeySpace    string // key space
	Key         string // order number
	Fingerprint Fingerprint
	Timeout     time.Duration // for the upstream's answer, from the claim
}

// RowKey returns the key of the order's row. The order number itself is not
// stored.
func (q Request) RowKey() string {
	digest := sha256.Sum256([]byte(q.Key))
	return RowPrefix + url.PathEscape(q.KeySpace) + "/" + hex.EncodeToString(digest[:])
}

// Outcome is what came of sending an order.
type Outcome struct {
	Response *chain.Response // the upstream's answer, or nil
	Err      *code.Error     // set when Response is nil
	NotSent  bool            // no byte can have reached the upstream
}

// Record is the value of an order row.
type Record struct {
	State       State           `json:"state"`
	Fingerprint Fingerprint     `json:"fingerprint"`
	Token       string          `json:"token"` // unique per claim
	Owner       string          `json:"owner"` // instance that claimed
	ClaimedAt   time.Time       `json:"claimed"`
	ExpiresAt   time.Time       `json:"expires"` // the owner has answered by then or never will
	FinishedAt  time.Time       `json:"finished,omitzero"`
	Response    *chain.Response `json:"response,omitempty"`
	ObjectKey   string          `json:"object,omitempty"` // object that holds the response's body
	BodyLost    bool            `json:"lost,omitempty"`   // the body could not be kept
	ResolvedBy  string          `json:"found_by,omitempty"`
	Note        string          `json:"note,omitempty"`
}

// Encode returns the row value.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // all field types can be encoded
	}
	return data
}

// Decode reads a row value.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "order row")
}

// Reference returns what callers and operators call the order of a row.
func Reference(rowKey string) string { return strings.TrimPrefix(rowKey, RowPrefix) }

// RowKeyFromReference returns the row key of a reference.
func RowKeyFromReference(reference string) string { return RowPrefix + reference }

// Errors of Resolve.
var (
	ErrOutcomeKnown = errors.New("the order is not unresolved")
	ErrStillRunning = errors.New("the order may still be running")
)

// Unresolved reports whether an operator has to look: the outcome is unknown,
// or the owner of the claim is past its expiry plus margin.
func (r Record) Unresolved(now time.Time, margin time.Duration) bool {
	return r.State == StateUnknown || r.State == StateClaimed && now.After(r.ExpiresAt.Add(margin))
}

// Resolve returns the record with the operator's finding. margin is added to
// the expiry of a claim for differences between clocks.
func Resolve(r Record, ran bool, by, note string, now time.Time, margin time.Duration) (Record, error) {
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
	r.ResolvedBy = by
	r.Note = note
	return r, nil
}

// Removable reports whether the retention of a finished order is over. Orders
// whose outcome is unknown stay until they are resolved.
func (r Record) Removable(now time.Time, retention time.Duration) bool {
	finished := r.State == StateDone || r.State == StateRan || r.State == StateNotRun
	return finished && now.After(r.FinishedAt.Add(retention))
}
