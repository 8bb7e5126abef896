package configsync

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/member"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// ack is the newest statement of a member that it holds a revision.
type ack struct {
	incarnation string
	revision    uint64
	clear       bool
}

var errStopped = twirp.NewError(twirp.Unavailable, "the instance is stopping")

// Sync answers another instance: the revision held here, how fresh it is, and
// the changes that the other lacks.
func (c *Controller) Sync(_ context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	if c.stopped.Load() {
		return nil, errStopped
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.held()
	_, isMember := member.Find(s.Members, req.Id, req.Incarnation)
	if req.HasState {
		c.acknowledge(req.Id, ack{req.Incarnation, req.Revision, req.Clear})
	}
	if req.HasState && req.Revision > s.Revision {
		notify(c.kick)
	}
	statement := c.tracker.StatementFor(c.now(), isMember && req.Member)
	resp := &rpc.SyncResponse{
		Id: c.o.Self.ID, Incarnation: c.o.Self.Incarnation,
		Revision: statement.Revision, Member: statement.Member,
		Fresh: statement.Fresh, AgeNs: int64(statement.Age), Clear: statement.GrantsExpired,
		Accepted: c.accepted.Load(),
	}
	if !req.StatusOnly && c.tracker.HasState() {
		c.addNews(resp, req)
	}
	return resp, nil
}

// addNews adds what the requester lacks. c.mu must be held.
func (c *Controller) addNews(resp *rpc.SyncResponse, req *rpc.SyncRequest) {
	if req.HasState && req.Revision >= resp.Revision {
		return
	}
	missing := int(resp.Revision - req.Revision)
	if !req.HasState || missing > len(c.recent) {
		resp.Snapshot = c.encodedSnapshot()
		return
	}
	for _, change := range c.recent[len(c.recent)-missing:] {
		data, _ := json.Marshal(change) // plain data, never fails
		resp.Changes = append(resp.Changes, data)
	}
}

// acknowledge keeps the newest acknowledgement of a member. c.mu must be held.
func (c *Controller) acknowledge(id string, a ack) {
	old, ok := c.acks[id]
	if ok && old.incarnation == a.incarnation {
		if a.revision < old.revision {
			return
		}
		a.clear = a.clear || old.clear && a.revision == old.revision
	}
	c.acks[id] = a
	if len(c.acks) > 2*len(c.held().Members.Members)+16 {
		c.forgetAcks()
	}
}

// forgetAcks drops the acknowledgements of instances that are not members.
func (c *Controller) forgetAcks() {
	for id, a := range c.acks {
		if _, ok := member.Find(c.held().Members, id, a.incarnation); !ok {
			delete(c.acks, id)
		}
	}
}

// Acknowledgements returns the newest acknowledgement of each instance that
// syncs here, and the own one.
func (c *Controller) Acknowledgements(context.Context, *rpc.AcknowledgementsRequest) (*rpc.AcknowledgementsResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &rpc.AcknowledgementsResponse{}
	for id, a := range c.acks {
		resp.Acknowledgements = append(resp.Acknowledgements, &rpc.Acknowledgement{
			Id: id, Incarnation: a.incarnation, Revision: a.revision, Clear: a.clear,
		})
	}
	if c.tracker.HasState() {
		resp.Acknowledgements = append(resp.Acknowledgements, &rpc.Acknowledgement{
			Id: c.o.Self.ID, Incarnation: c.o.Self.Incarnation,
			Revision: c.tracker.Revision(), Clear: c.tracker.GrantsExpired(c.now()),
		})
	}
	return resp, nil
}

// request returns a Sync request that acknowledges the held revision.
func (c *Controller) request(statusOnly bool) *rpc.SyncRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &rpc.SyncRequest{
		Id: c.o.Self.ID, Incarnation: c.o.Self.Incarnation,
		Revision: c.tracker.Revision(), HasState: c.tracker.HasState(),
		Member: c.tracker.IsMember(), Clear: c.tracker.GrantsExpired(c.now()),
		StatusOnly: statusOnly,
	}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
