// Package controller_test runs the state controllers of several instances
// against an in-memory table and network in virtual time.
package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/configsync"
	"github.com/fescuestep/fescuestep/pkg/controller/members"
	"github.com/fescuestep/fescuestep/pkg/controller/quotasync"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/peer"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// changeRows is small, so that compaction takes place in tests.
const changeRows = 12

type cluster struct {
	t     *testing.T
	table *fakeTable
	net   *fakeNet
	list  *fakeList
	nodes []*node
}

type node struct {
	c       *cluster
	self    config.Member
	sync    *configsync.Controller
	members *members.Controller
	limiter *quotasync.Limiter
	cancel  context.CancelFunc
	done    sync.WaitGroup
	starts  int
	serving atomic.Pointer[quotasync.Limiter] // nil while crashed
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t:     t,
		table: newFakeTable(),
		net:   &fakeNet{nodes: map[string]rpc.Peer{}, cut: map[string]bool{}, received: map[string]int{}, rand: rand.New(rand.NewPCG(1, 2))},
		list:  &fakeList{instances: map[string]external.Instance{}},
	}
	domains := []string{"rennes", "brest", "vannes", "quimper"}
	for i := range n {
		c.nodes = append(c.nodes, &node{c: c, self: config.Member{
			ID: fmt.Sprintf("r%d", i), PeerAddr: fmt.Sprintf("127.0.0.1:%d", 7000+i), Domain: domains[i%len(domains)],
		}})
	}
	t.Cleanup(c.stop)
	return c
}

// started returns a cluster whose instances are all members and fresh.
func started(t *testing.T, n int) *cluster {
	c := newCluster(t, n)
	for _, x := range c.nodes {
		x.start()
	}
	c.until("all instances are fresh members", 10*time.Second, func() bool { return c.allFresh() && c.allKnow(n) })
	return c
}

func (c *cluster) stop() {
	for _, x := range c.nodes {
		x.crash()
	}
	time.Sleep(5 * time.Second) // lets timers and calls end inside the bubble
}

func (c *cluster) allFresh() bool {
	for _, x := range c.nodes {
		if self, _ := x.sync.IsMember(); !self || !x.sync.Fresh() {
			return false
		}
	}
	return true
}

// allKnow reports whether every instance knows n members and their acceptance.
func (c *cluster) allKnow(n int) bool {
	for _, x := range c.nodes {
		s := x.sync.Snapshot()
		if len(s.Members.Members) != n || x.sync.Accepted() < s.Revision {
			return false
		}
	}
	return true
}

// until waits in virtual time for a condition and returns how long it took.
func (c *cluster) until(what string, limit time.Duration, cond func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (n *node) start() {
	n.starts++
	n.self.Incarnation = fmt.Sprintf("%s-%d", n.self.ID, n.starts)
	n.c.list.put(external.Instance{ID: n.self.ID, Addr: n.self.PeerAddr, Pool: external.RouterPool, Domain: n.self.Domain, State: external.Live}, true)
	peers := n.c.net.from(n.self.PeerAddr)
	var seed uint64
	for _, b := range []byte(n.self.Incarnation) {
		seed = seed*31 + uint64(b)
	}
	table := &cutTable{n.c.table, n.c.net, n.self.PeerAddr}
	n.sync = configsync.New(configsync.Options{Self: n.self, Table: table, Peers: peers, List: n.c.list, Rand: rand.New(rand.NewPCG(seed, 1)), ChangeRows: changeRows})
	n.members = members.New(members.Options{Self: n.self, Sync: n.sync, Peers: peers, List: n.c.list})
	n.limiter = quotasync.New(quotasync.Options{Self: n.self, State: n.sync, Peers: peers})
	services := peer.Services{Syncer: n.sync, Joiner: n.members, QuotaGranter: n.limiter}
	runs := []func(context.Context) error{n.sync.Run, n.members.Run, n.limiter.Run}
	n.c.net.mu.Lock()
	n.c.net.nodes[n.self.PeerAddr] = services
	n.c.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.serving.Store(n.limiter)
	for _, run := range runs {
		n.done.Go(func() { _ = run(ctx) })
	}
}

// crash ends the instance without a trace except in the platform's list, which
// lags.
func (n *node) crash() {
	if n.cancel == nil {
		return
	}
	n.c.net.mu.Lock()
	delete(n.c.net.nodes, n.self.PeerAddr)
	n.c.net.mu.Unlock()
	n.serving.Store(nil)
	n.cancel()
	n.cancel = nil
	n.done.Wait()
}

// cutTable is the table as seen by an instance that may be cut off.
type cutTable struct {
	*fakeTable
	net  *fakeNet
	addr string
}

func (t *cutTable) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	if t.net.isCut(t.addr) {
		return nil, external.ErrUnavailable
	}
	return t.fakeTable.Get(ctx, keys...)
}

func (t *cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]external.Row, error) {
	if t.net.isCut(t.addr) {
		return nil, external.ErrUnavailable
	}
	return t.fakeTable.Scan(ctx, prefix, after, limit)
}

func (t *cutTable) Commit(ctx context.Context, txn external.Txn) (uint64, error) {
	if t.net.isCut(t.addr) {
		return 0, external.ErrUnavailable
	}
	return t.fakeTable.Commit(ctx, txn)
}

// putKey commits a key through an instance.
func (n *node) putKey(secret string, revoked bool) uint64 {
	n.c.t.Helper()
	revision, err := n.propose(secret, revoked)
	if err != nil {
		n.c.t.Fatalf("propose key: %v", err)
	}
	return revision
}

func (n *node) propose(secret string, revoked bool) (uint64, error) {
	return n.sync.Propose(context.Background(), func(*config.Snapshot) (config.Change, error) {
		k := &config.Key{ID: secret, Digest: config.DigestOf(secret), Customer: "guild", Revoked: revoked}
		return config.Change{Key: k}, nil
	})
}

// honours reports whether the instance would serve a request with the key.
func (n *node) honours(secret string) bool {
	if !n.sync.Fresh() {
		return false
	}
	k := n.sync.Snapshot().Keys[config.DigestOf(secret)]
	return k != nil && !k.Revoked
}

func (n *node) accepted(revision uint64) bool {
	ok, _, err := n.sync.Progress(context.Background(), revision)
	return err == nil && ok
}
