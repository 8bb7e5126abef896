package configsync

import (
	"context"
	"crypto/rand"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// Bootstrap writes the first changes to an empty table, before any instance
// exists: with no members, each is accepted once it is committed. It returns
// external.ErrConflict when the table has a head already.
func Bootstrap(ctx context.Context, table external.Table, changes []config.Change) error {
	version := uint64(0)
	for i, c := range changes {
		c.Revision = uint64(i + 1)
		writes, err := writesOf(head{Revision: c.Revision, Accepted: c.Revision}, c)
		if err != nil {
			return err
		}
		version, err = table.Commit(ctx, external.Txn{
			Token:      rand.Text(),
			Conditions: []external.Condition{{Key: headKey, Version: version}},
			Writes:     writes,
		})
		if err != nil {
			return errors.Wrapf(err, "write change %d", c.Revision)
		}
	}
	return nil
}

// Append commits one change from outside an instance, keeping the accepted
// revision. It returns external.ErrConflict when another change came first.
func Append(ctx context.Context, table external.Table, c config.Change) error {
	h, row, err := store{table, changeTimeout}.head(ctx)
	if err != nil {
		return err
	}
	h.Revision++
	c.Revision = h.Revision
	writes, err := writesOf(h, c)
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, external.Txn{
		Token:      rand.Text(),
		Conditions: []external.Condition{{Key: headKey, Version: row.Version}},
		Writes:     writes,
	})
	return err
}
