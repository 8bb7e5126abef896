package collect

import (
	"context"

	"github.com/fescuestep/fescuestep/pkg/metrics"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// Peers gives access to other instances. *peer.Client implements it.
type Peers interface {
	Peer(addr string) rpc.Peer
}

type peers struct {
	next Peers
	m    *metrics.Metrics
}

// PeerCalls records the calls to other instances.
func PeerCalls(next Peers, m *metrics.Metrics) Peers { return peers{next, m} }

// Peer returns a client of the instance at an address that counts its calls.
func (p peers) Peer(addr string) rpc.Peer { return onePeer{p.next.Peer(addr), p.m} }

type onePeer struct {
	next rpc.Peer
	m    *metrics.Metrics
}

// counted passes on an answer and counts it.
func counted[T any](m *metrics.Metrics, call metrics.PeerCall, resp T, err error) (T, error) {
	if err != nil {
		m.PeerCall(call, metrics.Failure)
		return resp, err
	}
	m.PeerCall(call, metrics.OK)
	return resp, nil
}

// Sync makes the call and counts it.
func (p onePeer) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	resp, err := p.next.Sync(ctx, req)
	return counted(p.m, metrics.Sync, resp, err)
}

// Acknowledgements makes the call and counts it.
func (p onePeer) Acknowledgements(ctx context.Context, req *rpc.AcknowledgementsRequest) (*rpc.AcknowledgementsResponse, error) {
	resp, err := p.next.Acknowledgements(ctx, req)
	return counted(p.m, metrics.Acknowledgements, resp, err)
}

// Join makes the call and counts it.
func (p onePeer) Join(ctx context.Context, req *rpc.JoinRequest) (*rpc.JoinResponse, error) {
	resp, err := p.next.Join(ctx, req)
	return counted(p.m, metrics.Join, resp, err)
}

// Acquire makes the call and counts it.
func (p onePeer) Acquire(ctx context.Context, req *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	resp, err := p.next.Acquire(ctx, req)
	return counted(p.m, metrics.Acquire, resp, err)
}

// Return makes the call and counts it.
func (p onePeer) Return(ctx context.Context, req *rpc.ReturnRequest) (*rpc.ReturnResponse, error) {
	resp, err := p.next.Return(ctx, req)
	return counted(p.m, metrics.Return, resp, err)
}
