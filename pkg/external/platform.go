// Package external declares what the router uses of the platform: the
// transactional table service, the object store, the lagging instance list
// and the weight store.
package external

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of the table service and the object store. ErrUnavailable and
// ErrConflict mean that nothing was written. ErrOutcomeUnknown means that the
// commit may have taken effect; the caller reads its token back.
var (
	ErrUnavailable    = errors.New("platform service unavailable")
	ErrConflict       = errors.New("transaction condition failed")
	ErrOutcomeUnknown = errors.New("transaction outcome unknown")
	ErrNotFound       = errors.New("object not found")
)

// Row is one row of the table. Version is the commit number of its last write,
// unique and increasing over the whole table; Token is the token of that
// transaction. A missing row has Version 0. Era is that of the store that answered,
// see history.Position; versions of different eras are not comparable.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Token   string
	Era     uint64
}

// Condition requires a row to have the given version; 0 requires its absence.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is one transaction: all conditions hold and all writes take effect, or
// nothing does. Token must be unique per transaction.
type Txn struct {
	Token      string
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. Reads are linearizable.
type Table interface {
	// Get returns one row per key, in order, all from one point in time.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys have the prefix and are greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit returns the commit number of the transaction.
	Commit(ctx context.Context, txn Txn) (version uint64, err error)
}

// ObjectStore keeps large values.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// State is the platform's view of an instance.
type State string

// States of listed instances. An instance that is not listed is gone.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// RouterPool is the pool name under which the router's own instances are listed.
const RouterPool = "router"

// Instance is an entry of the platform's list. The list lags behind reality.
type Instance struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"` // IP:port
	Pool   string `json:"pool"`
	Domain string `json:"domain"` // failure domain
	State  State  `json:"state"`
}

// InstanceList lists live and leaving instances.
type InstanceList interface {
	List(ctx context.Context) ([]Instance, error)
}
