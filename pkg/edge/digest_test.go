package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// stubDecoder decodes every upstream row to an upstream that has only an ID.
type stubDecoder struct{}

func (stubDecoder) Tables() (string, string) { return "op", "servers" }
func (stubDecoder) DecodeOperator(state.Row) (state.OperatorRow, error) {
	return state.OperatorRow{}, nil
}
func (stubDecoder) DecodeUpstream(row state.Row) (*fleet.Upstream, error) {
	return &fleet.Upstream{ID: row.Key}, nil
}

type discardSink struct{}

func (discardSink) EraChanged(uint64)                        {}
func (discardSink) ConfigChanged(*routing.Snapshot)          {}
func (discardSink) WeightsTargetChanged(state.WeightsTarget) {}
func (discardSink) UpstreamsChanged(*fleet.View)             {}
func (discardSink) ReleaseRequested(state.ReleaseRequest)    {}

// newTestPeers returns the peers of an instance that has no UDP socket and one
// listed engine, e1.
func newTestPeers() *peers {
	now := func() time.Time { return time.Unix(1000, 0) }
	balancer := placement.NewBalancer(placement.Config{PrefillTokensPerMS: 60}, rand.New(rand.NewPCG(1, 2)))
	p := newPlacer(balancer, hclog.NewNullLogger(), now)
	p.setView(fleet.NewView([]*fleet.Upstream{{ID: "e1", Service: "llm", Weights: map[string]int{"m": 1}}}))
	follower := state.New(nil, stubDecoder{}, discardSink{}, hclog.NewNullLogger(), now)
	self := &rpc.Address{Name: "self", Digests: "10.0.0.1:7600", Control: "10.0.0.1:8608", Domain: "z"}
	return newPeers(self, 1, nil, nil, nil, p, newLimiter("self", now), follower, newCrashes(hclog.NewNullLogger(), now), newStreams(hclog.NewNullLogger(), now), hclog.NewNullLogger(), now)
}

// newDigest returns a digest from the instance "other".
func newDigest(sequence uint64, partial bool, work ...*rpc.Work) *rpc.Digest {
	return &rpc.Digest{
		Sender:      &rpc.Address{Name: "other", Digests: "10.0.0.2:7600", Control: "10.0.0.2:8608", Domain: "z"},
		Incarnation: 5, Sequence: sequence, Partial: partial, Work: work,
	}
}

// TestDigestsInAnyOrder guards against an older, repeated or partial digest
// overwriting the state of a newer one. UDP reorders and duplicates datagrams.
func TestDigestsInAnyOrder(t *testing.T) {
	p := newTestPeers()
	p.applyDigest(newDigest(2, false, &rpc.Work{Upstream: "e1", Requests: 4, Prefill: 100}))
	p.applyDigest(newDigest(1, false, &rpc.Work{Upstream: "e1", Requests: 9}))
	p.applyDigest(newDigest(3, true, &rpc.Work{Upstream: "e2", Requests: 1}))
	p.applyDigest(newDigest(3, true, &rpc.Work{Upstream: "e2", Requests: 7}))
	p.sumPeerWork()
	if got := p.placer.balancer.TotalWork("e1"); got != (placement.Work{Requests: 4, PrefillTokens: 100}) {
		t.Errorf("work at e1: %+v", got)
	}
	if work := p.byName["other"].work; len(work) != 2 {
		t.Errorf("work held after a partial digest: %v", work)
	}
}

// transfer sends the next digest from one instance to another and returns its size.
func transfer(t *testing.T, from, to *peers, partial bool) int {
	t.Helper()
	size := 0
	datagrams, _ := from.nextDigest(partial)
	for _, raw := range datagrams {
		d := &rpc.Digest{}
		if err := proto.Unmarshal(raw, d); err != nil {
			t.Fatal(err)
		}
		to.applyDigest(d)
		size += len(raw)
	}
	return size
}

// TestQueuedDigestConfirmsNoRecentTable guards against a list that counts as current although what confirms it waited behind a full link.
func TestQueuedDigestConfirmsNoRecentTable(t *testing.T) {
	const interval, queued = 100 * time.Millisecond, 4 * time.Second
	p, now := newTestPeers(), time.Unix(2000, 0)
	p.now = func() time.Time { return now }
	at := history.Position{Era: 1, Version: 1}
	p.follower.Merge([]state.TableUpdate{{Name: "servers", At: at, Full: true}})
	receive := func(sequence uint64, sent time.Duration, incarnation uint64) time.Duration {
		d := newDigest(sequence, false)
		d.Incarnation, d.SentMs = incarnation, uint64(sent.Milliseconds())
		current := uint32(0)
		d.Tables = []*rpc.Table{{Name: "servers", Era: at.Era, Version: at.Version, ConfirmedAgoMs: &current}}
		p.applyDigest(d)
		return now.Sub(p.follower.Tables()["servers"].ConfirmedAt)
	}
	sent := time.Hour
	for sequence := range uint64(20) {
		now, sent = now.Add(interval), sent+interval
		if age := receive(sequence+1, sent, 5); age != 0 {
			t.Fatalf("confirmed %v ago by a digest that came at once", age)
		}
	}
	now, sent = now.Add(interval+queued), sent+interval
	if age := receive(21, sent, 5); age != queued {
		t.Errorf("confirmed %v ago by a digest that waited for %v", age, queued)
	}
	if age := receive(1, interval, 6); age != 0 {
		t.Errorf("confirmed %v ago by the first digest of a new process", age)
	}
}

// TestLargeDigestTellsAllWork guards against work that is left out, and forgotten by
// the receiver, because the spending of many customers fills the datagram.
func TestLargeDigestTellsAllWork(t *testing.T) {
	from, to := newTestPeers(), newTestPeers()
	from.self.Name = "other"
	var listed []*fleet.Upstream
	for i := range 120 {
		listed = append(listed, &fleet.Upstream{ID: fmt.Sprintf("i-%010d", i), Service: "llm"})
	}
	for _, p := range []*peers{from, to} {
		p.placer.setView(fleet.NewView(listed))
	}
	var customers []routing.Customer
	for i := range 40 {
		customers = append(customers, routing.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: 100, Burst: 1e6})
	}
	from.limiter.configure(routing.New(routing.Config{Customers: customers}))
	for i := range listed {
		from.limiter.seedBucketLevel(customers[i%40].Name, 1e6)
		if _, err := from.limiter.Take(t.Context(), &config.Customer{ID: customers[i%40].Name}, 10); err != nil {
			t.Fatal(err)
		}
		attempt, _, err := from.placer.Pick(placement.Query{Service: &routing.Service{Name: "llm"}})
		if err != nil {
			t.Fatal(err)
		}
		from.placer.Begin(attempt)
	}
	for _, partial := range []bool{false, false, true} {
		want := len(from.placer.ownWork())
		if transfer(t, from, to, partial); len(to.byName["other"].work) != want {
			t.Errorf("partial %v: work at %d upstreams arrived, want %d", partial, len(to.byName["other"].work), want)
		}
	}
}

// TestPartialDigestTellsEndedWork guards against work that counts at the others until
// the next full digest, seconds later in a large fleet, although it has ended.
func TestPartialDigestTellsEndedWork(t *testing.T) {
	from, to := newTestPeers(), newTestPeers()
	from.self.Name = "other"
	attempt, _, err := from.placer.Pick(placement.Query{Service: &routing.Service{Name: "llm"}})
	if err != nil {
		t.Fatal(err)
	}
	from.placer.Begin(attempt)
	transfer(t, from, to, false)
	if len(to.byName["other"].work) != 1 {
		t.Fatal("the work did not arrive")
	}
	from.placer.Done(attempt, placement.OK)
	transfer(t, from, to, true)
	if work := to.byName["other"].work; len(work) != 0 {
		t.Errorf("after its end the work is %v", work)
	}
}

// TestPartialDigestsNameTheSender guards against partial digests that repeat what full
// ones state, and against a receiver that forgets the sender's address and tables.
func TestPartialDigestsNameTheSender(t *testing.T) {
	from, to := newTestPeers(), newTestPeers()
	from.self.Name = "other"
	from.follower.Merge([]state.TableUpdate{{Name: "servers", At: history.Position{Version: 7}, Full: true}})
	send := func(partial bool) int {
		return transfer(t, from, to, partial)
	}
	if send(true); to.peerCount() != 0 {
		t.Fatal("a partial digest introduces its sender")
	}
	full := send(false)
	if partial := send(true); partial*3 > full {
		t.Errorf("a partial digest has %d bytes, a full one %d", partial, full)
	}
	other := to.byName["other"]
	if other == nil || other.controlAddr != from.self.Control || tablePosition(other.lastDigest, "servers").Version != 7 {
		t.Errorf("after a partial digest: %+v", other)
	}
	from.follower.Merge([]state.TableUpdate{{Name: "servers", At: history.Position{Version: 9}, Full: true}})
	if send(true); other.lastDigest.Tables[0].Version != 9 && other.lastDigest.Tables[1].Version != 9 {
		t.Error("a partial digest does not tell a new version of a table")
	}
}

// TestStateTellsTheWholeOnlyIfAsked guards against a whole configuration in each of the
// responses with which instances follow small changes.
func TestStateTellsTheWholeOnlyIfAsked(t *testing.T) {
	p := newTestPeers()
	p.follower.Leave(fleet.Departure{ID: "e1", Stated: true})
	for _, asked := range []bool{false, true} {
		resp, err := p.State(t.Context(), &rpc.StateRequest{Retained: asked})
		if err != nil || (len(resp.Departures) > 0) != asked {
			t.Errorf("asked %v: %d departures, error %v", asked, len(resp.Departures), err)
		}
	}
}

// TestUnresponsiveStateSourceIsSkipped guards against an instance that keeps
// requesting state from an instance that has died while others have the same state.
func TestUnresponsiveStateSourceIsSkipped(t *testing.T) {
	p := newTestPeers()
	for i, name := range []string{"dead", "alive"} {
		d := newDigest(1, false)
		d.Sender = &rpc.Address{Name: name, Digests: fmt.Sprintf("10.0.0.%d:7600", i+2), Control: name + ":8608", Domain: "z"}
		d.Follows = name == "dead" // the preferred source by its last digest
		d.Tables = []*rpc.Table{{Name: "servers", Version: 7}}
		p.applyDigest(d)
	}
	list := newTableSync("servers")
	next := func() string {
		addr, _ := p.nextSource(list)
		return addr
	}
	for range 1000 {
		if next() == "dead:8608" {
			break
		}
	}
	list.sources.Failed(p.now(), "dead:8608")
	for range 100 {
		if got := next(); got != "alive:8608" {
			t.Fatalf("source of state is %q after a failed call to the other", got)
		}
	}
}

// TestPlacementsCountOnce guards against counting the tokens of a placement twice
// when its announcement is repeated, and against ignoring the announcements of an
// instance that restarted and begins again at serial number 1.
func TestPlacementsCountOnce(t *testing.T) {
	other := &peer{}
	countNew := func(incarnation uint64, serials ...uint64) int {
		d := &rpc.Digest{Incarnation: incarnation}
		for _, serial := range serials {
			d.Placed = append(d.Placed, &rpc.Placed{Serial: serial})
		}
		return len(other.newPlacements(d))
	}
	for _, step := range []struct {
		incarnation uint64
		serials     []uint64
		want        int
	}{{5, []uint64{1, 2}, 2}, {5, []uint64{1, 2, 3}, 1}, {5, []uint64{3}, 0}, {6, []uint64{1}, 1}, {6, []uint64{1, 2}, 1}} {
		if got := countNew(step.incarnation, step.serials...); got != step.want {
			t.Errorf("process %d, placements %v: %d count, want %d", step.incarnation, step.serials, got, step.want)
		}
	}
}

// TestUpdatesAreSentTwice guards against updates that are lost with one datagram, and
// against updates that are repeated without end and fill the links.
func TestUpdatesAreSentTwice(t *testing.T) {
	p := newTestPeers()
	for range 3 * maxUpdates {
		p.announceWeights("e1", "m", 2)
	}
	sent, largest := 0, 0
	for range 10 {
		datagrams, _ := p.nextDigest(true)
		raw := datagrams[0]
		d := &rpc.Digest{}
		if err := proto.Unmarshal(raw, d); err != nil {
			t.Fatal(err)
		}
		sent += len(d.Weights)
		largest = max(largest, len(raw))
	}
	if sent != 3*maxUpdates*updateRepeats {
		t.Errorf("updates sent %d times, want %d", sent, 3*maxUpdates*updateRepeats)
	}
	if largest > maxDigestBytes {
		t.Errorf("largest digest has %d bytes", largest)
	}
}

// TestStoppedInstanceIsRemoved guards against an instance whose share of customer
// rates stays reserved after it announced its shutdown and stopped.
func TestStoppedInstanceIsRemoved(t *testing.T) {
	p := newTestPeers()
	d := newDigest(1, false)
	d.Leaving = true
	p.applyDigest(d)
	if names := p.liveNames(); len(names) != 0 {
		t.Errorf("a leaving instance counts as live: %v", names)
	}
	p.now = func() time.Time { return time.Unix(1002, 0) }
	p.nextDigest(false)
	if p.peerCount() != 0 {
		t.Error("the instance is still known after it stopped")
	}
}

// FuzzTakeDigest guards against a datagram that makes the receiver panic.
func FuzzTakeDigest(f *testing.F) {
	raw, err := proto.Marshal(newDigest(1, false, &rpc.Work{Upstream: "e1", Requests: 1}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := &rpc.Digest{}
		if proto.Unmarshal(raw, d) != nil {
			return
		}
		p := newTestPeers()
		p.applyDigest(d)
		p.sumPeerWork()
		p.nextSource(newTableSync("servers"))
	})
}
