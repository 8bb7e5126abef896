package edge

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// testNetwork passes datagrams between peers that have no sockets.
type testNetwork struct {
	t      *testing.T
	byAddr map[netip.AddrPort]*peers
	sent   int // datagrams
	lossy  bool
}

func newTestNetwork(t *testing.T) *testNetwork {
	return &testNetwork{t: t, byAddr: map[netip.AddrPort]*peers{}}
}

// start adds an instance that has read a list of all that started before.
func (n *testNetwork) start(name string) *peers {
	p := newTestPeers()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(len(n.byAddr))}), 7600)
	p.self = &rpc.Address{Name: name, Digests: addr.String(), Control: addr.String(), Domain: "z"}
	for _, other := range n.byAddr {
		p.addListed(other.self)
	}
	n.byAddr[addr] = p
	return p
}

// deliver passes datagrams to the instances at their addresses.
func (n *testNetwork) deliver(datagrams [][]byte, targets []netip.AddrPort) {
	n.t.Helper()
	for _, raw := range datagrams {
		for _, target := range targets {
			n.sent++
			d := &rpc.Digest{}
			if err := proto.Unmarshal(raw, d); err != nil {
				n.t.Fatal(err)
			}
			if to := n.byAddr[target]; to != nil && !n.lossy {
				to.applyDigest(d)
			}
		}
	}
}

// introduceAll sends the introductions that are due until there are none.
func (n *testNetwork) introduceAll() {
	n.t.Helper()
	for range 10 {
		before := n.sent
		for _, p := range n.byAddr {
			n.deliver(p.nextIntroductions())
		}
		if n.sent == before {
			return
		}
	}
	n.t.Fatal("introductions do not end")
}

// strangers returns the number of pairs of which one has not heard the other.
func (n *testNetwork) strangers() int {
	out := 0
	for _, p := range n.byAddr {
		out += len(n.byAddr) - 1 - len(p.liveNames())
	}
	return out
}

// TestStartOfManyCostsTwoIntroductionsPerPair guards against a first contact that is
// answered to all instances: a start of n then costs n^3 datagrams.
func TestStartOfManyCostsTwoIntroductionsPerPair(t *testing.T) {
	const size = 30
	n := newTestNetwork(t)
	for i := range size {
		n.start(fmt.Sprintf("i%d", i))
	}
	n.introduceAll()
	if bound := size * (size - 1); n.sent > bound || n.strangers() > 0 {
		t.Errorf("%d datagrams, at most %d; %d pairs do not know each other", n.sent, bound, n.strangers())
	}
	n.sent = 0
	n.start("late")
	n.introduceAll()
	if n.sent > 2*size || n.strangers() > 0 {
		t.Errorf("one more instance: %d datagrams, at most %d; %d pairs do not know each other", n.sent, 2*size, n.strangers())
	}
}

// TestLostIntroductionsAreMadeUpFor guards against instances that never learn of each
// other because the datagrams of their start were lost.
func TestLostIntroductionsAreMadeUpFor(t *testing.T) {
	n := newTestNetwork(t)
	n.lossy = true
	first, second := n.start("first"), n.start("second")
	n.introduceAll()
	n.lossy = false
	n.deliver(second.nextDigest(false))
	n.introduceAll()
	if n.strangers() > 0 {
		t.Errorf("known: %v and %v", first.liveNames(), second.liveNames())
	}
}

// TestRestartedInstanceIsAnswered guards against an instance that learns only from the
// next full digests, seconds later in a large fleet, what the others tell, because they
// take its new process for one that they have answered before.
func TestRestartedInstanceIsAnswered(t *testing.T) {
	n := newTestNetwork(t)
	n.start("first")
	second := n.start("second")
	n.introduceAll()
	restarted := newTestPeers()
	restarted.self, restarted.incarnation = second.self, second.incarnation+1
	n.byAddr[netip.MustParseAddrPort(second.self.Digests)] = restarted
	for _, other := range n.byAddr {
		restarted.addListed(other.self)
	}
	n.introduceAll()
	if n.strangers() > 0 {
		t.Errorf("the new process knows %v", restarted.liveNames())
	}
}

// TestIntroductionsTakeNothingFromOthers guards against updates and changes of work that
// instances never get because an introduction to another one counts as told to all, and
// against a newcomer that starts from other work than the changes it is told.
func TestIntroductionsTakeNothingFromOthers(t *testing.T) {
	n := newTestNetwork(t)
	from, to := n.start("from"), n.start("to")
	n.introduceAll()
	n.deliver(from.nextDigest(false))
	attempt, _, err := from.placer.Pick(placement.Query{Service: &routing.Service{Name: "llm"}})
	if err != nil {
		t.Fatal(err)
	}
	from.placer.Begin(attempt)
	const updates = 3
	for range updates {
		from.announceWeights("e1", "m", 2)
	}
	late := n.start("late")
	n.introduceAll()
	datagrams, targets := from.nextDigest(true)
	d := &rpc.Digest{}
	if err := proto.Unmarshal(datagrams[0], d); err != nil || len(d.Weights) != updates {
		t.Errorf("%d updates left after an introduction, error %v", len(d.Weights), err)
	}
	n.deliver(datagrams, targets)
	for _, p := range []*peers{to, late} {
		if work := p.byName["from"].work; len(work) != 1 || work["e1"].Requests != 1 {
			t.Errorf("%s knows the work %v", p.self.Name, work)
		}
	}
}
