package edge

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/routing"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// newClockedPeers returns the peers of an instance with one customer that has a rate, and
// the function that sets their clock.
func newClockedPeers() (p *peers, now func() time.Time, advance func(time.Duration)) {
	clock := time.Unix(1000, 0)
	now = func() time.Time { return clock }
	p = newTestPeers()
	p.now, p.placer.now, p.limiter.now, p.crashes.now, p.streams.now = now, now, now, now, now
	p.limiter.configure(routing.New(routing.Config{Customers: []routing.Customer{{Name: "c", Rate: 100, Burst: 1e6}}}))
	return p, now, func(d time.Duration) { clock = clock.Add(d) }
}

// TestLostInstancesAreRemovedWithoutPanic guards against an end of the process some 60 s
// after another instance was lost: its limiter removed the peer by itself, and then again.
func TestLostInstancesAreRemovedWithoutPanic(t *testing.T) {
	pauses := []time.Duration{
		10 * time.Millisecond, digestInterval, leavingPeerExpiry, leavingPeerExpiry + 1, 10 * time.Second,
		peerExpiry - 1, peerExpiry, peerExpiry + 1, 2 * peerExpiry,
	}
	rapid.Check(t, func(t *rapid.T) {
		p, now, advance := newClockedPeers()
		customer := &config.Customer{ID: "c"}
		for sequence := range uint64(rapid.IntRange(1, 100).Draw(t, "calls")) {
			advance(rapid.SampledFrom(pauses).Draw(t, "pause"))
			name := fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "instance"))
			d := newDigest(sequence+1, false)
			d.Sender.Name = name
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0:
				p.addListed(d.Sender)
			case 1:
				d.Partial, d.Sender = true, &rpc.Address{Name: name}
				p.applyDigest(d)
			case 2:
				d.Leaving = true
				p.applyDigest(d)
			case 3:
				d.Spent = []*rpc.Spending{{Customer: "c", Tokens: float64(sequence)}}
				p.applyDigest(d)
			case 4:
				_, _ = p.limiter.Take(t.Context(), customer, 1)
			default:
				p.nextDigest(rapid.Bool().Draw(t, "partial"))
				for name, other := range p.byName {
					if silence := now().Sub(other.lastSign()); silence > peerExpiry {
						t.Fatalf("%s is still known after a silence of %v", name, silence)
					}
				}
			}
		}
	})
}

// pausedState stands still for a time while a digest is applied. It implements sharedState.
type pausedState struct {
	pause func()
	told  map[string]bool
}

func (pausedState) encode(*rpc.Digest, bool) {}
func (s pausedState) apply(sender string, _ uint64, _ *rpc.Digest) {
	s.pause()
	s.told[sender] = true
}
func (s pausedState) forget(sender string) { delete(s.told, sender) }

// TestDigestOfRemovedInstanceLeavesNothing guards against what an instance told that stays
// for good, since it was removed while the process stood still with its digest half applied.
func TestDigestOfRemovedInstanceLeavesNothing(t *testing.T) {
	p, now, advance := newClockedPeers()
	s := pausedState{told: map[string]bool{}, pause: func() {
		advance(peerExpiry + 1)
		p.mu.Lock()
		p.expirePeers(now())
		p.mu.Unlock()
	}}
	p.shared = append(p.shared, s)
	p.applyDigest(newDigest(1, false))
	if s.told["other"] {
		t.Error("what the removed instance told is still known")
	}
}

// TestInstanceWhoseClockWasSetBackIsHeard guards against an instance that is not heard for 60 s after its restart, since its clock was ahead at the start before.
func TestInstanceWhoseClockWasSetBackIsHeard(t *testing.T) {
	p, _, advance := newClockedPeers()
	work := func(requests uint32) *rpc.Work { return &rpc.Work{Upstream: "e1", Requests: requests} }
	p.applyDigest(newDigest(9, false, work(1)))
	restarted := newDigest(1, false, work(2))
	restarted.Incarnation--
	advance(lateDigestTime)
	if p.applyDigest(restarted); p.byName["other"].work["e1"].Requests != 1 {
		t.Error("a late digest of an earlier process counts")
	}
	advance(time.Millisecond)
	if p.applyDigest(restarted); p.byName["other"].work["e1"].Requests != 2 {
		t.Errorf("the digest of the restarted process does not count after a silence of %v", lateDigestTime)
	}
}

// datagrams is a connection on which datagrams arrive. It implements DigestConn.
type datagrams struct{ list chan []byte }

func (d datagrams) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	raw, ok := <-d.list
	if !ok {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	return copy(b, raw), netip.AddrPort{}, nil
}
func (datagrams) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }
func (datagrams) Close() error                                               { return nil }

// TestDigestOfManyCustomersIsReceived guards against whole digests that are cut at their receiver and dropped, so that an instance with many customers is never heard.
func TestDigestOfManyCustomersIsReceived(t *testing.T) {
	const customers = 1600
	p, _, _ := newClockedPeers()
	d := newDigest(1, false)
	for i := range customers {
		d.Spent = append(d.Spent, &rpc.Spending{Customer: fmt.Sprintf("customer-%04d", i), Tokens: 1e6, Level: 1e5})
	}
	raw, err := proto.Marshal(d)
	if err != nil || len(raw) > maxDatagramBytes {
		t.Fatalf("%d bytes, error %v", len(raw), err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	conn := datagrams{make(chan []byte, 1)}
	conn.list <- raw
	close(conn.list)
	p.conn = conn
	done := make(chan struct{})
	go func() {
		p.receive(ctx)
		close(done)
	}()
	deadline := time.Now().Add(5 * time.Second)
	for p.peerCount() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if p.peerCount() == 0 {
		t.Errorf("a digest of %d bytes is not received", len(raw))
	}
}
