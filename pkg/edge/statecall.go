package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuestep/fescuestep/pkg/httpconn"
	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// stateMemoryDivisor limits the response to a State call to this fraction (1/32) of
	// Options.MemoryBytes, but to no less than minStateBytes. Three calls may run at once, and
	// a response is held twice while it is decoded.
	stateMemoryDivisor = 32
	minStateBytes      = 4 << 20
)

// newStateClient returns a client for State calls, which fail after stateSilence without a
// byte and with responses of more than maxBytes. dial opens connections; nil: by TCP.
func newStateClient(dial httpconn.DialFunc, maxBytes int64) *http.Client {
	if dial == nil {
		dial = netopt.Dialer(dialTimeout).DialContext
	}
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second, MaxResponseHeaderBytes: netopt.MaxControlHeadBytes,
	}
	return &http.Client{Transport: countingTransport{netopt.LimitSilence(netopt.LimitResponses(netopt.StrictResponses(transport), maxBytes), stateSilence)}}
}

// callState asks the instance at a control address for state, and applies what it tells.
func (p *peers) callState(ctx context.Context, addr string, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxStateCall)
	defer cancel()
	ctx, body := countReceived(ctx)
	held, asked := p.follower.Positions(), p.now()
	req.Held, req.TakesZstd, req.Control = encodePositions(held), true, p.self.Control
	resp, err := rpc.NewEdgeProtobufClient("http://"+addr, p.client).State(ctx, req)
	took, bytes := p.now().Sub(asked), body.bytes.Load()
	p.metrics.StateTransferred(string(StateReceived), bytes)
	if err == nil {
		err = decompressRows(resp, p.maxStateBytes)
	}
	switch {
	case err != nil:
		p.log.Info("cannot fetch state from an instance", "addr", addr, "bytes", bytes, "ms", took.Milliseconds(), "error", err)
		return nil, err
	case resp.Busy != nil:
		p.log.Debug("instance sends no further copies now", "addr", addr, "retry_after_ms", resp.Busy.RetryAfterMs, "holders", len(resp.Busy.Holders))
		return resp, nil
	}
	p.applyState(resp, decodeUpdates(resp.Tables, held, addr, asked), req, addr)
	for _, t := range resp.Tables {
		p.log.Info("state fetched from an instance", "addr", addr, "table", t.Name, "era", t.Era, "version", t.Version, "whole", t.Whole, "rows", len(t.Rows),
			"bytes", bytes, "ms", took.Milliseconds())
	}
	p.announceCopy(bytes)
	return resp, nil
}

// applyState applies the response to a State call.
func (p *peers) applyState(resp *rpc.StateResponse, updates []state.TableUpdate, req *rpc.StateRequest, addr string) {
	p.follower.Merge(updates)
	for _, instance := range resp.Instances {
		p.addListed(instance)
	}
	if !req.Retained {
		return
	}
	p.follower.MergeRetained(decodeRetained(resp, addr))
	now := p.now()
	for _, c := range resp.Crashes {
		p.crashes.record(decodeCrash(c, now))
	}
	p.crashes.adopt(decodeQuarantines(resp.Quarantines, now))
	if told := time.Duration(resp.IncompleteMs) * time.Millisecond; told < p.crashes.incomplete() {
		p.crashes.setIncomplete(told)
	}
	p.applyRateLimits(resp.Sender, resp.RateLimits)
	p.streams.learn(resp.Streams)
}

// decompressRows restores the values of the rows of a response, which may have so many bytes
// together. It fails with errPackedRow.
func decompressRows(resp *rpc.StateResponse, maxBytes int64) error {
	unpacker := newRowUnpacker(maxBytes)
	defer unpacker.close()
	for _, t := range resp.Tables {
		if err := unpacker.unpackRows(t.Rows); err != nil {
			return err
		}
	}
	return unpacker.unpackRows(resp.Retained)
}

func (u *rowUnpacker) unpackRows(rows []*rpc.Row) error {
	for _, r := range rows {
		if len(r.Zstd) == 0 {
			continue
		}
		value, err := u.unpack(r.Zstd)
		if err != nil {
			return err
		}
		r.Value, r.Zstd = value, nil
	}
	return nil
}
