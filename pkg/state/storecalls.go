package state

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/fleet"
)

// storeFailed records a failed call to the store for a table that began at a time.
func (f *Follower) storeFailed(name string, began time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[name]
	if t.healthy {
		f.log.Warn("store unavailable", "table", name, "error", err)
		f.unavailableSince = f.now()
	}
	t.healthy = false
	f.upstreams.StoreCallFailed(began)
}

// noteAnswer records a successful call to the store for a table. It returns until when
// this instance knew the table before: until now if the call before succeeded, too, since
// the store answers at once when something changes.
func (f *Follower) noteAnswer(name string) (knownUntil time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, now := f.tables[name], f.now()
	knownUntil = t.answeredAt
	if t.healthy || t.answeredAt.IsZero() {
		knownUntil = now
	}
	t.answeredAt = now
	return knownUntil
}

// storeAnswered records a successful call to the store for a table.
func (f *Follower) storeAnswered(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tables[name]
	if !t.healthy {
		f.log.Info("store available", "table", name, "after", f.now().Sub(f.unavailableSince).String())
		f.retries.storeReturned()
	}
	t.healthy = true
	f.noteStoreAnswered(f.now())
}

// noteStoreAnswered records that the store answered this or another instance at a time. The
// caller holds mu.
func (f *Follower) noteStoreAnswered(at time.Time) {
	if f.upstreams.StoreAnswered(at) {
		f.logDeferral()
	}
}

func (f *Follower) logDeferral() {
	f.log.Info("removals of upstreams are deferred, since the store was away", "for", fleet.ReconnectGracePeriod.String())
}

// NoteStoreUptime records a period in which the store answered another instance. Deferred
// removals are completed at once if there was no outage.
func (f *Follower) NoteStoreUptime(u fleet.Uptime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deferredUntil := f.upstreams.GraceUntil()
	if f.upstreams.StoreUp(u) {
		f.logDeferral()
	}
	if f.upstreams.GraceUntil().Before(deferredUntil) {
		f.log.Info("removals of upstreams are not deferred any more, since the store answered other instances meanwhile")
		f.expire()
	}
}

// StoreUptime returns the newest period in which the store is known to have answered this
// or another instance.
func (f *Follower) StoreUptime() fleet.Uptime {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams.StoreUptime()
}

// RefreshUpstreams reads what has changed in the list of upstreams, whether or not this
// instance follows the store. Afterwards the list is as the store had it when the call
// began, or newer.
func (f *Follower) RefreshUpstreams(ctx context.Context) error {
	_, name := f.decoder.Tables()
	return f.refresh(ctx, name)
}

// RefreshOperator does the same with the operator's table.
func (f *Follower) RefreshOperator(ctx context.Context) error {
	name, _ := f.decoder.Tables()
	return f.refresh(ctx, name)
}

func (f *Follower) refresh(ctx context.Context, name string) error {
	update, err := f.fetch(ctx, name, true, 0)
	if errors.Is(err, ErrHistoryLost) || (err == nil && !f.apply(update)) {
		update, err = f.fetch(ctx, name, false, 0)
		if err == nil && !f.apply(update) {
			err = errEarlierEra
		}
	}
	return err
}

// FollowsStore reports whether this instance follows the store itself: its last calls
// succeeded, no longer than maxContactAge ago.
func (f *Follower) FollowsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, follows := f.now(), !f.idle
	for _, t := range f.tables {
		follows = follows && t.healthy && now.Sub(t.answeredAt) <= maxContactAge
	}
	return follows
}
