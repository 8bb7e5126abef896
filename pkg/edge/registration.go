package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

const (
	// registerRetryDelay is the pause between attempts to register in the store.
	registerRetryDelay = 500 * time.Millisecond
	// maxRegisterDelay is the longest delay before an instance registers again.
	maxRegisterDelay = 2 * time.Second
)

// InstanceRegistry is the table of the store in which instances are listed.
type InstanceRegistry interface {
	// Rows reads all rows of the table.
	Rows(ctx context.Context, table string) (state.Page, error)
	// PutRow writes a row, replacing one with the same key.
	PutRow(ctx context.Context, table, key string, value []byte) error
}

// keepRegistered registers this instance at its start and again whenever the store has
// come back from an older copy, which may lack its row, until ctx ends.
func (p *peers) keepRegistered(ctx context.Context, registry InstanceRegistry, table string) {
	for ctx.Err() == nil {
		p.register(ctx, registry, table)
		select {
		case <-ctx.Done():
			return
		case <-p.registerAgain:
		}
		// The delay keeps the writes of a large fleet within the store's rate.
		sleep(ctx, rand.N(maxRegisterDelay))
	}
}

// register writes this instance's address to the store and then reads the addresses
// of the others once. Instances that start later are discovered by their digests.
func (p *peers) register(ctx context.Context, registry InstanceRegistry, table string) {
	value, err := json.Marshal(p.self)
	if err != nil {
		p.log.Error("cannot encode the address of this instance", "error", err)
		return
	}
	registered := false
	for ctx.Err() == nil {
		if !registered {
			err := registry.PutRow(ctx, table, p.self.Name, value)
			registered = err == nil
		}
		if registered {
			page, err := registry.Rows(ctx, table)
			if err == nil {
				p.addListedRows(page.Rows)
				return
			}
		}
		sleep(ctx, registerRetryDelay)
	}
}

// addListedRows records the instances that rows of the store list. Those that are new
// get an introduction.
func (p *peers) addListedRows(rows []state.Row) {
	for _, row := range rows {
		addr := &rpc.Address{}
		if err := json.Unmarshal(row.Value, addr); err != nil {
			p.log.Warn("cannot decode the address of a listed instance", "key", row.Key, "error", err)
			continue
		}
		p.addListed(addr)
	}
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
