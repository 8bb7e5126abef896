package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/streamversion"
)

// servedCheck finds out which versions of a service's software may have begun a stream that
// this instance did not see begin. What it knows may be outdated, by a cut or while it was
// paused, so it reads the store: the listing, and the rows that name versions which have
// served lately. Requests that ask while a check runs share the next one.
type servedCheck struct {
	rows    *versionRows
	refresh func(ctx context.Context) error // reads what has changed in the listing
	agree   func() bool                     // reports whether no instance can know more while the store is away
	now     func() time.Time
	log     hclog.Logger

	mu      sync.Mutex // held while a check runs
	beganAt time.Time  // when the last check began
	stored  map[string]streamversion.Served
	err     error
}

const (
	// servedCheckTimeout limits a check, for which a request waits.
	servedCheckTimeout = 300 * time.Millisecond
	// servedCheckPause is how long a failed check counts, so that requests are refused at
	// once while the store is away.
	servedCheckPause = 500 * time.Millisecond
)

// lately returns, by service, what the store keeps of those that have served lately, by a
// check that begins now or later. It returns false if that cannot be told.
func (c *servedCheck) lately(ctx context.Context) (stored map[string]streamversion.Served, ok bool) {
	asked := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := c.err != nil && c.now().Sub(c.beganAt) < servedCheckPause
	if c.beganAt.Before(asked) && !failed {
		c.run(ctx)
	}
	if c.err != nil {
		return nil, c.agree()
	}
	return c.stored, true
}

// run makes a check. The caller holds mu.
func (c *servedCheck) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), servedCheckTimeout)
	defer cancel()
	c.beganAt = c.now()
	if c.err = c.refresh(ctx); c.err == nil {
		c.stored, c.err = c.readRows(ctx)
	}
	if c.err != nil {
		c.log.Info("cannot read which versions of software serve", "error", c.err)
	}
}

// readRows returns what the rows tell, by service.
func (c *servedCheck) readRows(ctx context.Context) (map[string]streamversion.Served, error) {
	page, err := c.rows.store.Rows(ctx, c.rows.table)
	if err != nil {
		return nil, err
	}
	return c.rows.decode(page.Rows), nil
}
