package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

var errCut = errors.New("store is not reached")

// leavingStore lists one upstream until it leaves.
type leavingStore struct{ left atomic.Bool }

// storeLink is the connection of one instance to a store.
type storeLink struct {
	store *leavingStore
	cut   atomic.Bool
}

func (l *storeLink) Rows(_ context.Context, table string) (state.Page, error) {
	if l.cut.Load() {
		return state.Page{}, errCut
	}
	if table != "servers" {
		return state.Page{At: history.Position{Version: 1}}, nil
	}
	return state.Page{At: history.Position{Version: 1}, Rows: []state.Row{{Table: table, Key: "u", Version: 1}}}, nil
}

func (l *storeLink) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (state.Page, error) {
	const pollInterval = 50 * time.Millisecond
	for began := time.Now(); ; sleep(ctx, pollInterval) {
		left := l.store.left.Load() && table == "servers"
		switch {
		case l.cut.Load() || ctx.Err() != nil:
			return state.Page{}, errCut
		case left && after < 2:
			return state.Page{At: history.Position{Version: 2}, Rows: []state.Row{{Table: table, Key: "u", Version: 2, Deleted: true}}}, nil
		case time.Since(began) >= wait:
			return state.Page{At: history.Position{Version: max(after, 1)}}, nil
		}
	}
}

// viewSink keeps the listed upstreams.
type viewSink struct {
	discardSink
	view atomic.Pointer[fleet.View]
}

func (s *viewSink) UpstreamsChanged(v *fleet.View) { s.view.Store(v) }

// linkedInstance is what an instance knows of the others and of the store.
type linkedInstance struct {
	*peers
	link *storeLink
	sink *viewSink
}

func newLinkedInstance(name, ip string, store *leavingStore) linkedInstance {
	link, sink := &storeLink{store: store}, &viewSink{}
	log := hclog.NewNullLogger()
	balancer := placement.NewBalancer(placement.Config{PrefillTokensPerMS: 60}, rand.New(rand.NewPCG(1, 2)))
	self := &rpc.Address{Name: name, Digests: ip + ":7600", Control: ip + ":8608", Domain: name}
	follower := state.New(link, stubDecoder{}, sink, log, time.Now)
	p := newPeers(self, 1, nil, nil, nil, newPlacer(balancer, log, time.Now), newLimiter(name, time.Now), follower, newCrashes(log, time.Now), newStreams(log, time.Now), log, time.Now)
	return linkedInstance{p, link, sink}
}

// TestOwnCutDefersNoDepartureOnceOthersTell guards against an instance that was cut off from the store and from the others, and goes on using an upstream that leaves then, although the others tell it that the store was never away.
func TestOwnCutDefersNoDepartureOnceOthersTell(t *testing.T) {
	for _, cut := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 20 * time.Second} {
		for later := time.Duration(0); later < time.Second; later += 250 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) { departAfterOwnCut(t, cut, later) })
		}
	}
}

func departAfterOwnCut(t *testing.T, cut, later time.Duration) {
	const digests = 200 * time.Millisecond
	store := &leavingStore{}
	self, other := newLinkedInstance("a", "10.0.0.1", store), newLinkedInstance("b", "10.0.0.2", store)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { self.follower.Run(ctx) })
	wg.Go(func() { other.follower.Run(ctx) })
	exchange := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(digests) {
			transfer(t, other.peers, self.peers, false)
			transfer(t, self.peers, other.peers, false)
		}
	}
	exchange(3 * time.Second)
	self.link.cut.Store(true)
	time.Sleep(cut)
	self.link.cut.Store(false)
	exchange(later)
	store.left.Store(true)
	exchange(1200 * time.Millisecond) // calls are at most 0.8 s apart, digests 0.2 s
	if self.sink.view.Load().ByID("u") != nil {
		t.Errorf("cut of %v: still in use 1.2 s after its departure, %v after the end of the cut", cut, later)
	}
}
