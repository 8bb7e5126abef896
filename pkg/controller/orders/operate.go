package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/order"
)

// pageSize is the number of rows of one scan.
const pageSize = 256

// ErrUnknownReference is returned for a reference without an order.
var ErrUnknownReference = errors.New("no order has this reference")

// Unresolved is an order that an operator has to look at.
type Unresolved struct {
	Reference string
	Owner     string
	State     order.State
	Claimed   time.Time
}

// Unresolved lists the orders whose outcome is unknown, ordered by reference,
// at most limit. It reads all order rows.
func (s *Service) Unresolved(ctx context.Context, limit int) ([]Unresolved, error) {
	var list []Unresolved
	err := s.scan(ctx, func(row external.Row, r order.Record) bool {
		if r.Unresolved(s.options.Now(), s.options.ResolveMargin) {
			list = append(list, Unresolved{
				Reference: order.Reference(row.Key),
				Owner:     r.Owner,
				State:     r.State,
				Claimed:   r.ClaimedAt,
			})
		}
		return len(list) < limit
	})
	return list, err
}

// Resolve records an operator's finding. It returns ErrUnknownReference,
// order.ErrOutcomeKnown, order.ErrStillRunning or an error of the table.
func (s *Service) Resolve(ctx context.Context, reference string, ran bool, by, note string) error {
	key := order.RowKeyFromReference(reference)
	row, err := s.read(ctx, key)
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return errors.Wrap(ErrUnknownReference, reference)
	}
	record, err := order.Decode(row.Value)
	if err != nil {
		return err
	}
	record, err = order.Resolve(record, ran, by, note, s.options.Now(), s.options.ResolveMargin)
	if err != nil {
		return err
	}
	_, err = s.commit(ctx, external.Condition{Key: key, Version: row.Version},
		external.Write{Key: key, Value: record.Encode()})
	return err
}

// RunSweep removes finished orders after their retention until ctx ends.
// enabled is asked before every sweep: one instance of the fleet is enough.
func (s *Service) RunSweep(ctx context.Context, enabled func() bool) {
	ticker := time.NewTicker(s.options.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !enabled() {
			continue
		}
		if err := s.Sweep(ctx); err != nil {
			s.log.Debug("removal of old orders stopped", "error", err)
		}
	}
}

// Sweep removes the finished orders whose retention is over.
func (s *Service) Sweep(ctx context.Context) error {
	var failed error
	err := s.scan(ctx, func(row external.Row, r order.Record) bool {
		if r.Removable(s.options.Now(), s.options.Retention) {
			failed = s.remove(ctx, row, r)
		}
		return failed == nil
	})
	return firstError(failed, err)
}

// remove deletes the object first: a row without its object is found again, an
// object without its row is not.
func (s *Service) remove(ctx context.Context, row external.Row, r order.Record) error {
	if r.ObjectKey != "" {
		if err := s.objects.Delete(ctx, r.ObjectKey); err != nil && !errors.Is(err, external.ErrNotFound) {
			return err
		}
	}
	_, err := s.commit(ctx, external.Condition{Key: row.Key, Version: row.Version},
		external.Write{Key: row.Key, Delete: true})
	if errors.Is(err, external.ErrConflict) {
		return nil // another instance was faster
	}
	return err
}

// scan calls visit for every order row until it returns false. Rows that cannot
// be decoded are logged and skipped.
func (s *Service) scan(ctx context.Context, visit func(external.Row, order.Record) bool) error {
	after := ""
	for {
		rows, err := s.page(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			record, err := order.Decode(row.Value)
			if err != nil {
				s.log.Error("order row cannot be read", "key", row.Key, "error", err)
				continue
			}
			if !visit(row, record) {
				return nil
			}
		}
		if len(rows) < pageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (s *Service) page(ctx context.Context, after string) ([]external.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.TableTimeout)
	defer cancel()
	return s.table.Scan(ctx, order.RowPrefix, after, pageSize)
}
