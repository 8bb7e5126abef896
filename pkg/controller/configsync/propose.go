package configsync

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fresh"
)

// Bounds of Propose.
const (
	proposeTries  = 16
	conflictPause = 20 * time.Millisecond
)

// Propose reads the newest snapshot, calls build, commits the change that it
// returns and installs it. build is called again after a conflict; an error of
// build ends the call and is returned. The error is
// external.ErrUnavailable when nothing was written and
// external.ErrOutcomeUnknown when the change may take effect.
func (c *Controller) Propose(ctx context.Context, build func(*config.Snapshot) (config.Change, error)) (uint64, error) {
	p := &proposal{Controller: c, build: build, tried: map[string]uint64{}}
	for try := range proposeTries {
		revision, done, err := p.attempt(ctx)
		if done || err != nil {
			return revision, p.uncertain(err)
		}
		if err := pause(ctx, c.jitter(conflictPause*time.Duration(1+try))); err != nil {
			return 0, p.uncertain(err)
		}
	}
	return 0, p.uncertain(errors.Wrap(external.ErrConflict, "too many conflicting changes"))
}

// proposal is one call of Propose. tried holds the token and revision of every
// commit whose answer was lost; any of them may still take effect as long as
// the head is the one it was conditional on.
type proposal struct {
	*Controller
	build func(*config.Snapshot) (config.Change, error)
	tried map[string]uint64
}

// attempt makes one commit. done is false after a conflict.
func (p *proposal) attempt(ctx context.Context) (revision uint64, done bool, err error) {
	sent := p.now()
	h, row, s, err := p.newest(ctx)
	if err != nil {
		return 0, false, err
	}
	if revision, err := p.landed(ctx, h); revision != 0 || err != nil {
		return revision, revision != 0, err
	}
	change, err := p.build(s)
	if err != nil {
		return s.Revision, false, err
	}
	change.Revision = h.Revision + 1
	h.Revision = change.Revision
	writes, err := writesOf(h, change)
	if err != nil {
		return 0, false, err
	}
	txn := external.Txn{
		Token:      rand.Text(),
		Conditions: []external.Condition{{Key: headKey, Version: row.Version}},
		Writes:     writes,
	}
	_, err = p.o.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		return change.Revision, true, p.installOwn(sent, h, change)
	case errors.Is(err, external.ErrConflict):
		return 0, false, nil
	case errors.Is(err, external.ErrUnavailable):
		return 0, false, err
	}
	p.tried[txn.Token] = change.Revision
	return 0, false, nil
}

// newest returns the head row and the snapshot at that head.
func (p *proposal) newest(ctx context.Context) (head, external.Row, *config.Snapshot, error) {
	if err := p.readTable(ctx, p.store.patient()); err != nil {
		return head{}, external.Row{}, nil, err
	}
	h, row, err := p.store.patient().head(ctx)
	if err != nil {
		return head{}, external.Row{}, nil, err
	}
	s := p.Snapshot()
	if s.Revision < h.Revision {
		changes, err := p.store.changes(ctx, s.Revision, h.Revision)
		if err != nil {
			return head{}, external.Row{}, nil, err
		}
		s, err = applyAll(s, changes)
		return h, row, s, err
	}
	return h, row, s, nil
}

// landed looks for a commit of this proposal whose answer was lost. A commit
// that is still under way conflicts once another one has taken its revision.
func (p *proposal) landed(ctx context.Context, h head) (uint64, error) {
	for token, revision := range p.tried {
		if revision > h.Revision {
			continue
		}
		rows, err := p.store.table.Get(ctx, changeKey(revision))
		if err != nil {
			return 0, errors.Wrap(err, "read token back")
		}
		if rows[0].Token == token {
			return revision, p.readTable(ctx, p.store.patient())
		}
		delete(p.tried, token)
	}
	return 0, nil
}

// uncertain turns an error into ErrOutcomeUnknown when an earlier commit may
// still take effect.
func (p *proposal) uncertain(err error) error {
	if err == nil || len(p.tried) == 0 || errors.Is(err, external.ErrOutcomeUnknown) {
		return err
	}
	return errors.Wrap(external.ErrOutcomeUnknown, err.Error())
}

// installOwn puts a committed change in force here. The commit proves that its
// revision was the newest one at a time after sent.
func (p *proposal) installOwn(sent time.Duration, h head, change config.Change) error {
	u := &update{changes: []config.Change{change}, head: h}
	err := p.install(u, func(t *fresh.Tracker) { t.RecordHead(sent, h.Revision) })
	if err != nil {
		// An older revision is held: the follower fetches what is missing.
		p.o.Log.Debug("own change not installed yet", "error", err)
	}
	notify(p.kick)
	notify(p.accept)
	return nil
}

// writeHead commits a new head that is conditional on the row.
func (c *Controller) writeHead(ctx context.Context, row external.Row, h head, extra ...external.Write) error {
	data, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	txn := external.Txn{
		Token:      rand.Text(),
		Conditions: []external.Condition{{Key: headKey, Version: row.Version}},
		Writes:     append([]external.Write{{Key: headKey, Value: data}}, extra...),
	}
	_, err = c.o.Table.Commit(ctx, txn)
	return err
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
