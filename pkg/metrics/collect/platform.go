// Package collect wraps the parts of an instance at their interfaces and
// records what passes, so that the parts themselves know nothing of metrics.
package collect

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/metrics"
)

// calls records calls to one service of the platform.
type calls struct {
	m       *metrics.Metrics
	service metrics.Service
}

func (c calls) record(start time.Time, err error) {
	c.m.PlatformCall(c.service, outcomeOf(err), time.Since(start))
}

// outcomeOf classifies an answer of the platform. A missing object is a
// proper answer.
func outcomeOf(err error) metrics.Outcome {
	switch {
	case err == nil, errors.Is(err, external.ErrNotFound):
		return metrics.OK
	case errors.Is(err, external.ErrConflict):
		return metrics.Conflict
	case errors.Is(err, external.ErrUnavailable):
		return metrics.Unavailable
	}
	return metrics.Unknown
}

type table struct {
	next external.Table
	calls
}

// Table records the calls to a table.
func Table(next external.Table, m *metrics.Metrics) external.Table {
	return table{next, calls{m, metrics.Table}}
}

// Get makes the call and records its duration and outcome.
func (t table) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	start := time.Now()
	rows, err := t.next.Get(ctx, keys...)
	t.record(start, err)
	return rows, err
}

// Scan makes the call and records its duration and outcome.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]external.Row, error) {
	start := time.Now()
	rows, err := t.next.Scan(ctx, prefix, after, limit)
	t.record(start, err)
	return rows, err
}

// Commit makes the call and records its duration and outcome.
func (t table) Commit(ctx context.Context, txn external.Txn) (uint64, error) {
	start := time.Now()
	version, err := t.next.Commit(ctx, txn)
	t.record(start, err)
	return version, err
}

type objects struct {
	next external.ObjectStore
	calls
}

// Objects records the calls to an object store.
func Objects(next external.ObjectStore, m *metrics.Metrics) external.ObjectStore {
	return objects{next, calls{m, metrics.Objects}}
}

// Put makes the call and records its duration and outcome.
func (o objects) Put(ctx context.Context, key string, value []byte) error {
	start := time.Now()
	err := o.next.Put(ctx, key, value)
	o.record(start, err)
	return err
}

// Get makes the call and records its duration and outcome.
func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	start := time.Now()
	value, err := o.next.Get(ctx, key)
	o.record(start, err)
	return value, err
}

// Delete makes the call and records its duration and outcome.
func (o objects) Delete(ctx context.Context, key string) error {
	start := time.Now()
	err := o.next.Delete(ctx, key)
	o.record(start, err)
	return err
}

type list struct {
	next external.InstanceList
	calls
}

// List records the calls to an instance list.
func List(next external.InstanceList, m *metrics.Metrics) external.InstanceList {
	return list{next, calls{m, metrics.List}}
}

// List makes the call and records its duration and outcome.
func (l list) List(ctx context.Context) ([]external.Instance, error) {
	start := time.Now()
	instances, err := l.next.List(ctx)
	l.record(start, err)
	return instances, err
}
