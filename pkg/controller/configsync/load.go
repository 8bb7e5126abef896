package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// scanLimit is the number of rows per table read.
const scanLimit = 500

// errGap means that change rows are missing because they were compacted.
var errGap = errors.New("change rows are no longer complete")

// store reads the configuration's rows.
type store struct {
	table   external.Table
	timeout time.Duration // of a read of the head
}

// patient returns a store for changes and their acceptance: unlike freshness,
// they can wait for a table that is slow.
func (s store) patient() store { return store{s.table, changeTimeout} }

func (s store) head(ctx context.Context) (head, external.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	rows, err := s.table.Get(ctx, headKey)
	if err != nil {
		return head{}, external.Row{}, errors.Wrap(err, "read head")
	}
	h, err := decodeHead(rows[0])
	return h, rows[0], err
}

// changes returns the changes after a revision. It returns errGap when they do
// not continue at that revision or do not reach through.
func (s store) changes(ctx context.Context, after, through uint64) ([]config.Change, error) {
	var out []config.Change
	for last := after; last < through; {
		rows, err := s.table.Scan(ctx, changePrefix, changeKey(last), scanLimit)
		if err != nil {
			return nil, errors.Wrap(err, "read changes")
		}
		if len(rows) == 0 {
			return nil, errGap
		}
		for _, row := range rows {
			c, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			if c.Revision != last+1 {
				return nil, errGap
			}
			out = append(out, c)
			last = c.Revision
		}
	}
	return out, nil
}

// full reads the state rows. They are not read at one point in time, so the
// changes committed meanwhile are applied on top: each replaces the whole value
// that it changes, so applying one twice does no harm.
func (s store) full(ctx context.Context) (*config.Snapshot, head, error) {
	before, _, err := s.head(ctx)
	if err != nil {
		return nil, head{}, err
	}
	p := &parts{Revision: before.Revision}
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, statePrefix, after, scanLimit)
		if err != nil {
			return nil, head{}, errors.Wrap(err, "read state rows")
		}
		for _, row := range rows {
			if err := p.add(row); err != nil {
				return nil, head{}, err
			}
			after = row.Key
		}
		if len(rows) < scanLimit {
			break
		}
	}
	now, _, err := s.head(ctx)
	if err != nil {
		return nil, head{}, err
	}
	changes, err := s.changes(ctx, before.Revision, now.Revision)
	if err != nil {
		return nil, head{}, err
	}
	snapshot, err := applyAll(p.snapshot(), changes)
	return snapshot, now, err
}

// since returns the snapshot at the newest revision, from the change rows or,
// when they were compacted, from the state rows.
func (s store) since(ctx context.Context, old *config.Snapshot) (*update, error) {
	h, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	changes, err := s.changes(ctx, old.Revision, h.Revision)
	if err == nil {
		return &update{changes: changes, head: h}, nil
	}
	if !errors.Is(err, errGap) {
		return nil, err
	}
	return s.load(ctx)
}

func (s store) load(ctx context.Context) (*update, error) {
	full, h, err := s.full(ctx)
	if err != nil {
		return nil, err
	}
	return &update{full: full, head: h}, nil
}

// update is news about the configuration: consecutive changes or a whole
// snapshot.
type update struct {
	changes []config.Change
	full    *config.Snapshot
	head    head
}

func applyAll(s *config.Snapshot, changes []config.Change) (*config.Snapshot, error) {
	for _, c := range changes {
		next, err := s.Apply(c)
		if err != nil {
			return nil, err
		}
		s = next
	}
	return s, nil
}

// memberships returns the memberships in force at any revision from the last
// accepted one to the revision, both included, as the table records them.
func (s store) memberships(ctx context.Context, h head, revision uint64) ([]config.Membership, uint64, error) {
	current := config.Membership{}
	last := h.Members
	if last != 0 {
		rows, err := s.table.Get(ctx, changeKey(last))
		if err != nil {
			return nil, 0, errors.Wrap(err, "read accepted membership")
		}
		c, err := decodeChange(rows[0])
		if err != nil || c.Members == nil {
			return nil, 0, errors.Newf("row %s is not a membership change", changeKey(last))
		}
		current = *c.Members
	}
	out := []config.Membership{current}
	changes, err := s.changes(ctx, h.Accepted, revision)
	if err != nil {
		return nil, 0, err
	}
	for _, c := range changes {
		if c.Members != nil && c.Revision <= revision {
			out = append(out, *c.Members)
			last = c.Revision
		}
	}
	return out, last, nil
}
