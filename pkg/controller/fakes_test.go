package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/external"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// fakeTable is an in-memory table with faults.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]external.Row
	version uint64
	reads   int
	down    bool
	slow    time.Duration
	lose    int           // answers of commits to lose after they took effect
	late    time.Duration // lost commits take effect this much later
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]external.Row{}} }

func (t *fakeTable) set(f func(t *fakeTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *fakeTable) enter(ctx context.Context) error {
	t.mu.Lock()
	delay := t.slow + time.Millisecond
	t.mu.Unlock()
	select {
	case <-ctx.Done():
		return errors.Wrap(external.ErrUnavailable, ctx.Err().Error())
	case <-time.After(delay):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return external.ErrUnavailable
	}
	return nil
}

func (t *fakeTable) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	out := make([]external.Row, len(keys))
	for i, k := range keys {
		out[i] = t.rows[k]
		out[i].Key = k
	}
	return out, nil
}

func (t *fakeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]external.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var out []external.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

func (t *fakeTable) Commit(ctx context.Context, txn external.Txn) (uint64, error) {
	if err := t.enter(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lose > 0 {
		t.lose--
		if t.late > 0 {
			time.AfterFunc(t.late, func() { t.set(func(t *fakeTable) { _, _ = t.apply(txn) }) })
		} else {
			_, _ = t.apply(txn)
		}
		return 0, external.ErrOutcomeUnknown
	}
	return t.apply(txn)
}

func (t *fakeTable) apply(txn external.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return 0, external.ErrConflict
		}
	}
	t.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = external.Row{Key: w.Key, Value: w.Value, Version: t.version, Token: txn.Token}
	}
	return t.version, nil
}

// fakeList is the platform's list.
type fakeList struct {
	mu        sync.Mutex
	instances map[string]external.Instance
}

func (l *fakeList) List(context.Context) ([]external.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []external.Instance
	for _, x := range l.instances {
		out = append(out, x)
	}
	return out, nil
}

func (l *fakeList) put(x external.Instance, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances, x.ID)
	if listed {
		l.instances[x.ID] = x
	}
}

// fakeNet connects instances in memory.
type fakeNet struct {
	mu    sync.Mutex
	nodes map[string]rpc.Peer // by address
	cut   map[string]bool     // addresses that are unreachable both ways
	lose  float64             // probability that a request or an answer is lost
	twice float64             // probability that a request arrives twice
	rand  *rand.Rand
	calls int
	// received counts requests by destination.
	received map[string]int
}

const hop = 500 * time.Microsecond

func (n *fakeNet) from(addr string) fakePeers { return fakePeers{n, addr} }

func (n *fakeNet) isCut(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[addr]
}

func (n *fakeNet) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

// fate decides what happens to one message.
func (n *fakeNet) fate(from, to string) (lost, twice bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	lost = n.cut[from] || n.cut[to] || n.rand.Float64() < n.lose
	return lost, n.rand.Float64() < n.twice, hop + time.Duration(n.rand.Int64N(int64(hop)))
}

type fakePeers struct {
	net  *fakeNet
	addr string
}

func (p fakePeers) Peer(addr string) rpc.Peer { return &fakePeer{p.net, p.addr, addr} }

type fakePeer struct {
	net      *fakeNet
	from, to string
}

var errLost = errors.New("message lost")

// callTimeout is what the real client waits for an answer.
const callTimeout = 600 * time.Millisecond

func call[Q, R any](ctx context.Context, p *fakePeer, f func(rpc.Peer) func(context.Context, *Q) (*R, error), req *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lost, twice, delay := p.net.fate(p.from, p.to)
	if err := wait(ctx, delay, lost); err != nil {
		return nil, err
	}
	p.net.mu.Lock()
	p.net.received[p.to]++
	node, ok := p.net.nodes[p.to]
	p.net.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%s refuses connections", p.to)
	}
	resp, err := f(node)(ctx, req)
	if twice {
		_, _ = f(node)(ctx, req)
	}
	lost, _, delay = p.net.fate(p.to, p.from)
	if werr := wait(ctx, delay, lost); werr != nil {
		return nil, werr
	}
	return resp, err
}

func wait(ctx context.Context, d time.Duration, lost bool) error {
	if lost {
		<-ctx.Done()
		return errLost
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (p *fakePeer) Sync(ctx context.Context, r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return call(ctx, p, func(n rpc.Peer) func(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) { return n.Sync }, r)
}

func (p *fakePeer) Acknowledgements(ctx context.Context, r *rpc.AcknowledgementsRequest) (*rpc.AcknowledgementsResponse, error) {
	return call(ctx, p, func(n rpc.Peer) func(context.Context, *rpc.AcknowledgementsRequest) (*rpc.AcknowledgementsResponse, error) {
		return n.Acknowledgements
	}, r)
}

func (p *fakePeer) Join(ctx context.Context, r *rpc.JoinRequest) (*rpc.JoinResponse, error) {
	return call(ctx, p, func(n rpc.Peer) func(context.Context, *rpc.JoinRequest) (*rpc.JoinResponse, error) { return n.Join }, r)
}

func (p *fakePeer) Acquire(ctx context.Context, r *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	return call(ctx, p, func(n rpc.Peer) func(context.Context, *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
		return n.Acquire
	}, r)
}

func (p *fakePeer) Return(ctx context.Context, r *rpc.ReturnRequest) (*rpc.ReturnResponse, error) {
	return call(ctx, p, func(n rpc.Peer) func(context.Context, *rpc.ReturnRequest) (*rpc.ReturnResponse, error) {
		return n.Return
	}, r)
}
