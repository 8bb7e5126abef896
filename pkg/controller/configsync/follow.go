package configsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/fresh"
	"github.com/fescuestep/fescuestep/pkg/member"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Periods of the follower.
const (
	relayInterval = 250 * time.Millisecond // head reads of a relay
	pollInterval  = 500 * time.Millisecond // polls of a relay by the others
	tableInterval = time.Second            // table reads of an instance that is no relay
	headTimeout   = 400 * time.Millisecond // leaves time for a majority poll within the window
	changeTimeout = 2 * time.Second        // head reads of a change and its acceptance
	loadTimeout   = 5 * time.Second        // changes and state rows
	minPause      = 20 * time.Millisecond  // between steps that news triggers
	maxAge        = 1200 * time.Millisecond
)

// follow keeps the state current until ctx ends.
func (c *Controller) follow(ctx context.Context) error {
	f := &follower{Controller: c, lastTable: -tableInterval}
	for {
		pause := f.step(ctx)
		if err := c.sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// sleep waits for d or for news, at least minPause.
func (c *Controller) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(minPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if d <= minPause {
		return nil
	}
	timer.Reset(d - minPause)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-c.kick:
	}
	return nil
}

// follower is the state of the follow loop.
type follower struct {
	*Controller
	lastTable time.Duration // start of the last table read
	tableDown bool          // the last table read failed
	tries     int           // startup rounds without success
}

// step looks for news once and returns the pause until the next step.
func (f *follower) step(ctx context.Context) time.Duration {
	if !f.HasState() {
		return f.startup(ctx)
	}
	relays := member.Relays(f.Snapshot().Members, f.o.Self.Domain)
	self, _ := f.IsMember()
	if self && holds(relays, f.o.Self.ID) {
		f.relayStep(ctx)
		return relayInterval - relayInterval/8 + f.jitter(relayInterval/4)
	}
	if !f.askAny(ctx, member.RelayOrder(relays, f.o.Self.ID)) {
		f.fallback(ctx)
	}
	return pollInterval - pollInterval/8 + f.jitter(pollInterval/4)
}

// relayStep reads the table; when that fails, it looks for a majority.
func (f *follower) relayStep(ctx context.Context) {
	if f.tableDown {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.confirm(ctx)
		}()
		f.tryTable(ctx)
		<-done
		return
	}
	if !f.tryTable(ctx) {
		f.confirm(ctx)
	}
}

// fallback reads the table itself, at most once per tableInterval, and looks
// for a majority when that fails.
func (f *follower) fallback(ctx context.Context) {
	if f.now()-f.lastTable >= tableInterval {
		if f.tryTable(ctx) {
			return
		}
	}
	if until, _ := f.expiry(); until-f.now() < f.o.Params.Window/2 {
		f.confirm(ctx)
	}
}

// confirm takes evidence from one of the pollers or else polls a majority.
// Two pollers keep the number of polls independent of the number of relays.
func (f *follower) confirm(ctx context.Context) {
	pollers := member.Rank(f.Snapshot().Members.Members, "poller", 2)
	if !holds(pollers, f.o.Self.ID) && f.askAny(ctx, pollers) {
		return
	}
	f.pollMajority(ctx)
}

func (f *follower) tryTable(ctx context.Context) bool {
	f.lastTable = f.now()
	err := f.readTable(ctx, f.store)
	if down := err != nil; down != f.tableDown {
		f.o.Log.Info("table reachability changed", "reachable", !down, "error", err)
		f.tableDown = down
	}
	return err == nil
}

// readTable brings the held state up to the table's head.
func (c *Controller) readTable(ctx context.Context, from store) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	sent := c.now()
	var u *update
	var err error
	if c.HasState() {
		u, err = from.since(ctx, c.Snapshot())
	} else {
		u, err = from.load(ctx)
	}
	if err != nil {
		return err
	}
	err = c.install(u, func(t *fresh.Tracker) { t.RecordHead(sent, u.head.Revision) })
	c.establish()
	return err
}

// askAny syncs with the instances in order until one gives evidence that is
// recent enough to last until the next step.
func (c *Controller) askAny(ctx context.Context, from []config.Member) bool {
	for _, m := range from {
		if m.ID == c.o.Self.ID {
			continue
		}
		ok, err := c.syncWith(ctx, m.PeerAddr)
		if err != nil {
			c.o.Log.Debug("peer did not answer", "peer", m.ID, "error", err)
		}
		if ok {
			return true
		}
	}
	return false
}

// syncWith exchanges revisions with one instance. It reports whether that gave
// recent evidence.
func (c *Controller) syncWith(ctx context.Context, addr string) (bool, error) {
	sent := c.now()
	req := c.request(false)
	resp, err := c.o.Peers.Peer(addr).Sync(ctx, req)
	if err != nil {
		return false, errors.Wrap(err, "sync")
	}
	u, err := decodeNews(resp)
	if err != nil {
		return false, err
	}
	age := time.Duration(resp.AgeNs)
	err = c.install(u, func(t *fresh.Tracker) {
		if resp.Member && resp.Fresh {
			t.RecordRelayed(sent, age, resp.Revision)
		}
	})
	if err == nil && (u.full != nil || len(u.changes) > 0) {
		// Acknowledges at once, so that acceptance need not wait for the next poll.
		_, _ = c.o.Peers.Peer(addr).Sync(ctx, c.request(true))
	}
	recent := c.now()-sent+age < maxAge && resp.Revision >= req.Revision
	return err == nil && resp.Member && resp.Fresh && recent, err
}

func decodeNews(resp *rpc.SyncResponse) (*update, error) {
	u := &update{head: head{Accepted: resp.Accepted}}
	if len(resp.Snapshot) > 0 {
		p := new(parts)
		if err := json.Unmarshal(resp.Snapshot, p); err != nil {
			return nil, errors.Wrap(err, "decode snapshot of peer")
		}
		u.full = p.snapshot()
	}
	for _, data := range resp.Changes {
		var change config.Change
		if err := json.Unmarshal(data, &change); err != nil {
			return nil, errors.Wrap(err, "decode change of peer")
		}
		u.changes = append(u.changes, change)
	}
	return u, nil
}

// expiry returns the end of freshness.
func (c *Controller) expiry() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.FreshUntil()
}

func holds(members []config.Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}
