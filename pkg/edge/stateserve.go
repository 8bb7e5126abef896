package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuestep/fescuestep/pkg/dissemination"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// maxHolders is the number of instances that a refusal of a copy names.
const maxHolders = 4

// State returns the rows that the calling instance lacks and, if it asks for that, what
// this instance knows beyond the rows of the store. A caller that has no table yet also
// gets the addresses of all known instances. While too many copies are being sent, it names
// instances that have got one instead.
func (p *peers) State(ctx context.Context, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	held := map[string]history.Position{}
	for _, t := range req.Held {
		held[t.Name] = position(t)
	}
	out := &rpc.StateResponse{Instances: []*rpc.Address{p.self}}
	p.addTables(out, req, held)
	if req.Retained {
		p.addRetainedState(out, req)
	}
	if !hasAnyTable(held) {
		out.Instances = append(out.Instances, p.addresses()...)
	}
	if busy := p.copies.admit(p.now(), req.Control, out); busy != nil {
		return &rpc.StateResponse{Busy: busy}, nil
	}
	noteSent(ctx, out)
	return out, nil
}

// addTables adds the rows that the caller lacks of the tables that it asks for.
func (p *peers) addTables(out *rpc.StateResponse, req *rpc.StateRequest, held map[string]history.Position) {
	for _, update := range p.follower.ChangesSince(held) {
		if len(req.Only) == 0 || slices.Contains(req.Only, update.Name) {
			out.Tables = append(out.Tables, p.encodeUpdate(update, req.TakesZstd))
		}
	}
}

func (p *peers) encodeUpdate(u state.TableUpdate, compress bool) *rpc.Table {
	out := encodeUpdate(u, p.now())
	for i, r := range u.Rows {
		if compress {
			p.compressRow(out.Rows[i], r)
		}
	}
	return out
}

// compressRow replaces the value of an encoded row by its compressed form.
func (p *peers) compressRow(out *rpc.Row, r state.Row) {
	compressed, err := p.packer.pack(r)
	if err != nil {
		p.log.Error("cannot compress a row", "key", r.Key, "error", err)
		return
	}
	if compressed != nil {
		out.Value, out.Zstd = nil, compressed
	}
}

// addRetainedState adds what is known beyond the rows of the store, without contents that
// the caller knows or gets with the tables.
func (p *peers) addRetainedState(out *rpc.StateResponse, req *rpc.StateRequest) {
	now := p.now()
	retained := p.follower.Retained()
	known := p.follower.OperatorNumbers()
	retained.Operator = slices.DeleteFunc(retained.Operator, func(r state.Row) bool {
		return knowsContent(req.Contents, r.Key, known[r.Key]) || tellsRow(out.Tables, r)
	})
	addRetained(out, retained)
	if req.TakesZstd {
		for i, r := range retained.Operator {
			p.compressRow(out.Retained[i], r)
		}
	}
	crashes, quarantines := p.crashes.retained()
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, encodeCrash(c, now))
	}
	out.Quarantines = encodeQuarantines(quarantines, now)
	out.IncompleteMs = uint32(p.crashes.incomplete().Milliseconds())
	out.Streams = encodeStreams(p.streams.retained(), now)
	out.Sender, out.RateLimits = p.self.Name, encodeRateLimits(p.placer.rateLimits(), now)
}

// knowsContent reports whether contents include one of a key that is as new as a number.
func knowsContent(contents []*rpc.Content, key string, number uint64) bool {
	return slices.ContainsFunc(contents, func(c *rpc.Content) bool { return c.Key == key && c.Number >= number })
}

// tellsRow reports whether tables contain a row in the same version.
func tellsRow(tables []*rpc.Table, row state.Row) bool {
	for _, t := range tables {
		if t.Name == row.Table && slices.ContainsFunc(t.Rows, func(r *rpc.Row) bool { return r.Key == row.Key && r.Version == row.Version }) {
			return true
		}
	}
	return false
}

// addresses returns the addresses of all other known instances.
func (p *peers) addresses() []*rpc.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*rpc.Address, 0, len(p.byName))
	for _, other := range p.byName {
		out = append(out, other.addr)
	}
	return out
}

// copies admits the copies of tables that this instance sends, and remembers who has got
// one. It is safe for concurrent use.
type copies struct {
	mu      sync.Mutex
	uplink  *dissemination.Uplink
	holders []holder // the newest last
}

// holder is an instance that was sent a copy.
type holder struct {
	control string
	tables  []*rpc.Table // without rows
	readyAt time.Time    // when the copy will have arrived
}

func newCopies(linkBytesPerSecond float64) *copies {
	return &copies{uplink: dissemination.NewUplink(linkBytesPerSecond)}
}

// admit returns nil if a response may be sent to the instance at a control address.
func (c *copies) admit(now time.Time, control string, resp *rpc.StateResponse) *rpc.Busy {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := largestCopy(resp)
	retryAfter, ok := c.uplink.Admit(now, sent)
	if !ok {
		return c.refusal(now, retryAfter)
	}
	if control != "" && sent.Bytes > dissemination.SmallBytes && len(resp.Tables) > 0 {
		c.holders = append(c.holders, holder{control, withoutRows(resp.Tables), c.uplink.BusyUntil()})
		c.holders = c.holders[max(0, len(c.holders)-maxHolders):]
	}
	return nil
}

// largestCopy describes a response by its largest table and its whole size.
func largestCopy(resp *rpc.StateResponse) dissemination.Copy {
	out, largest := dissemination.Copy{Bytes: proto.Size(resp)}, -1
	for _, t := range resp.Tables {
		if size := proto.Size(t); size > largest {
			out.Table, out.At, largest = t.Name, position(t), size
		}
	}
	return out
}

// refusal names the holders whose copy has arrived. The caller holds mu.
func (c *copies) refusal(now time.Time, retryAfter time.Duration) *rpc.Busy {
	out := &rpc.Busy{RetryAfterMs: uint32(retryAfter.Milliseconds()) + 1}
	for _, h := range c.holders {
		if !h.readyAt.After(now) {
			out.Holders, out.Tables = append(out.Holders, h.control), h.tables
		}
	}
	return out
}

func withoutRows(tables []*rpc.Table) []*rpc.Table {
	var out []*rpc.Table
	for _, t := range tables {
		out = append(out, &rpc.Table{Name: t.Name, Era: t.Era, Version: t.Version})
	}
	return out
}
