package peer_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/peer"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// stubPeer responds with messages of realistic size.
type stubPeer struct{ rpc.Peer }

const (
	benchID          = "router-rennes-3"
	benchIncarnation = "541c4594149dc2b7c5d0583f6f78b661"
	benchChange      = 350 // bytes of a change that creates a key
)

func (stubPeer) Sync(_ context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	resp := &rpc.SyncResponse{
		Id: benchID, Incarnation: benchIncarnation, Revision: 1 << 20, Accepted: 1 << 20,
		Member: true, Fresh: true, AgeNs: 200_000_000, Clear: true,
	}
	if req.Revision < resp.Revision {
		resp.Changes = [][]byte{make([]byte, benchChange)}
	}
	return resp, nil
}

func (stubPeer) Acquire(_ context.Context, req *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	resp := &rpc.AcquireResponse{Incarnation: benchIncarnation, Fresh: true}
	for _, a := range req.Asks {
		resp.Grants = append(resp.Grants, &rpc.Grant{
			Customer: a.Customer, Tokens: a.Tokens, Number: 1 << 30, GrantedAt: 1 << 45, Level: 1 << 16, Rate: 7500, Burst: 75000,
		})
	}
	return resp, nil
}

func (stubPeer) Return(context.Context, *rpc.ReturnRequest) (*rpc.ReturnResponse, error) {
	return &rpc.ReturnResponse{At: 1 << 45}, nil
}

// BenchmarkCall measures one call between two instances over HTTP/2 on
// loopback: CPU time of client and server together, as they share the process,
// and bytes on the wire in both directions.
func BenchmarkCall(b *testing.B) {
	sync := func(revision uint64) func(context.Context, rpc.Peer) error {
		return func(ctx context.Context, p rpc.Peer) error {
			_, err := p.Sync(ctx, &rpc.SyncRequest{Id: benchID, Incarnation: benchIncarnation, Revision: revision, HasState: true, Member: true, Clear: true})
			return err
		}
	}
	acquire := func(n int) func(context.Context, rpc.Peer) error {
		return func(ctx context.Context, p rpc.Peer) error {
			req := &rpc.AcquireRequest{Id: benchID, Incarnation: benchIncarnation}
			for i := range n {
				req.Asks = append(req.Asks, &rpc.Ask{Customer: fmt.Sprintf("customer-%04d", i), Tokens: 4096})
			}
			_, err := p.Acquire(ctx, req)
			return err
		}
	}
	returnTokens := func(ctx context.Context, p rpc.Peer) error {
		_, err := p.Return(ctx, &rpc.ReturnRequest{
			Id: benchID, Incarnation: benchIncarnation, HolderIncarnation: benchIncarnation, Sequence: 1 << 20,
			Settlements: []*rpc.Settlement{{Customer: "customer-0000", Number: 1 << 30, GrantedAt: 1 << 45, Unused: 100, Spent: 3996}},
		})
		return err
	}
	for _, c := range []struct {
		name string
		call func(context.Context, rpc.Peer) error
	}{
		{"sync", sync(1 << 20)},
		{"sync_with_change", sync(1<<20 - 1)},
		{"acquire=1", acquire(1)},
		{"acquire=10", acquire(10)},
		{"return", returnTokens},
	} {
		b.Run(c.name, func(b *testing.B) { benchCall(b, c.call) })
	}
}

func benchCall(b *testing.B, call func(context.Context, rpc.Peer) error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer(peer.Services{Syncer: stubPeer{}, QuotaGranter: stubPeer{}}, "credential", nil)
	go func() { _ = peer.Serve(server, ln) }()
	defer func() { _ = server.Close() }()
	var counter peer.Counter
	client := peer.NewClient("credential", nil, counter.Wrap)
	defer client.Close()
	p, ctx := client.Peer(ln.Addr().String()), context.Background()
	if err := call(ctx, p); err != nil { // opens the connection
		b.Fatal(err)
	}
	received, sent := counter.Bytes()
	cpu := cpuTime(b)
	for b.Loop() {
		if err := call(ctx, p); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(b.N), "cpu-ns/op")
	receivedAfter, sentAfter := counter.Bytes()
	b.ReportMetric(float64(receivedAfter-received+sentAfter-sent)/float64(b.N), "wire-B/op")
}

// cpuTime returns the user and system CPU time used by the process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
