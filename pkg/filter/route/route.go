// Package route reads the body of a request and finds the application, route and
// pool that it is routed to.
//
// Model requests (/v1/chat/completions, /v1/completions) are routed by the model
// named in the body, requests to plain services by the path below
// /<application>/. The filter itself responds to /v1/models. The method is
// checked before the body is read. A body is limited in size, all bodies of an
// instance share a memory budget, and a body must arrive within the read timeout.
// A customer may use only the applications configured for it; a model of another
// application is reported as unknown.
//
// The body for an engine is rebuilt from the parsed fields, so that the engine
// uses the model, the stream flag and the output limit that were checked and
// charged. Fields whose names differ from these only in case, and requests for
// more than one choice, are rejected. Block hashes are chained from the customer's
// cache scope, the model, the adapter and the pool's weights.
//
// The context carries the deadline: the time of receipt plus the application's
// timeout.
package route

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// Limits are the limits of request bodies and the default request timeout.
type Limits struct {
	MaxBody        int64         // size of one body in bytes
	MemoryBudget   int64         // bytes of all bodies of the instance with their copies
	ReadTimeout    time.Duration // for reading one whole body
	DefaultTimeout time.Duration // of a request whose application configures none
}

// DefaultLimits returns limits for an instance with 128 MB of memory. A long
// prompt with a catalogue is about 1 MB.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:        4 << 20,
		MemoryBudget:   64 << 20,
		ReadTimeout:    10 * time.Second,
		DefaultTimeout: time.Minute,
	}
}

// Filter reads bodies and routes requests.
type Filter struct {
	limits Limits
	budget memoryBudget
}

// New returns a filter with the given limits.
func New(limits Limits) *Filter {
	return &Filter{limits: limits, budget: memoryBudget{limit: limits.MemoryBudget}}
}

// Name returns the name of the filter.
func (f *Filter) Name() string { return "route" }

// Wrap returns a handler that routes the request before it calls next.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		match, err := Match(r.Snapshot, r.HTTP)
		if err != nil {
			return err
		}
		if match.ModelList {
			return writeModels(r)
		}
		if match.Application != nil && r.Customer != nil && !r.Customer.MayUse(match.Application.ID) {
			return code.New(code.NotPermitted, "the customer may not use %s", match.Application.ID)
		}
		memory := f.memoryFor(r)
		body, held, err := f.readBody(r.Writer, r.HTTP, memory)
		defer memory.Release(held)
		if err != nil {
			return err
		}
		r.Body = body
		r.UpstreamPath = match.Path
		if err := rejectKeyCopies(r); err != nil {
			return err
		}
		if err := resolveApplication(r, match); err != nil {
			return err
		}
		r.Deadline = r.ReceivedAt.Add(f.timeout(r.Application))
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		return next(ctx, r)
	}
}

func (f *Filter) timeout(a *config.Application) time.Duration {
	if a.Timeout > 0 {
		return a.Timeout
	}
	return f.limits.DefaultTimeout
}

// resolveApplication sets the application, route, deployment, pool and, for model
// requests, the prompt and its block hashes.
func resolveApplication(r *chain.Request, t MatchResult) error {
	if t.Application == nil {
		if err := resolveModel(r, t.Kind); err != nil {
			return err
		}
	} else {
		r.Application = t.Application
		r.Route = t.Route
	}
	r.Deployment = r.Snapshot.DeploymentOf(r.Application.ID)
	r.Pool = r.Snapshot.Pool(r.Application.Pool)
	if r.Pool == nil {
		return code.New(code.NoUpstream, "the pool of %s is not configured", r.Application.ID)
	}
	if r.Prompt != nil {
		r.Blocks = blockHashes(r)
	}
	return nil
}

// resolveModel parses the body of a model request, finds the application of its
// model and rebuilds the body for the engine.
func resolveModel(r *chain.Request, kind prompt.Kind) error {
	p, err := prompt.Parse(kind, r.Body)
	if err != nil {
		return code.New(code.BadRequest, "%v", err)
	}
	app := r.Snapshot.ApplicationByModel(p.Model)
	if app == nil || r.Customer == nil || !r.Customer.MayUse(app.ID) {
		return code.New(code.UnknownModel, "the model %q is not known", p.Model)
	}
	body, err := rebuildBody(p, r.Body)
	if err != nil {
		return err
	}
	r.Prompt = p
	r.Application = app
	r.Body = body
	return nil
}

// blockHashes returns the chained hashes of the whole blocks of the prompt, or nil
// if the pool configures no block size.
func blockHashes(r *chain.Request) []block.Hash {
	size := r.Pool.BlockTokens * prompt.BytesPerToken
	if size <= 0 {
		return nil
	}
	id := block.Identity{
		CacheScope:     r.Customer.CacheScope,
		Model:          r.Application.Model,
		Adapter:        r.Application.Adapter,
		WeightsVersion: r.Pool.Weights,
	}
	dst := make([]block.Hash, 0, len(r.Prompt.Text)/size)
	return block.AppendChain(dst, id.Seed(), r.Prompt.Text, size)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func writeModels(r *chain.Request) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range r.Snapshot.Models() {
		app := r.Snapshot.ApplicationByModel(name)
		if r.Customer != nil && r.Customer.MayUse(app.ID) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: app.ID})
		}
	}
	r.Writer.Header().Set("Content-Type", "application/json")
	r.Writer.WriteHeader(http.StatusOK)
	r.Outcome.ResponseStarted = true
	_ = json.NewEncoder(r.Writer).Encode(list) // the caller may have disconnected
	return nil
}
