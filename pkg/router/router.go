// Package router assembles one router instance: the filter chain, the callers'
// listener and the background parts that keep its state current.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/filter/accounting"
	"github.com/fescuestep/fescuestep/pkg/filter/auth"
	"github.com/fescuestep/fescuestep/pkg/filter/endpoint"
	"github.com/fescuestep/fescuestep/pkg/filter/idempotency"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/filter/relay"
	"github.com/fescuestep/fescuestep/pkg/filter/requestid"
	"github.com/fescuestep/fescuestep/pkg/filter/route"
	"github.com/fescuestep/fescuestep/pkg/router/listener"
)

// Background keeps some state current (configuration, quota, events, reports,
// membership, peer and administration services) until its context ends.
type Background interface {
	Run(ctx context.Context) error
}

// Parts are what an instance is assembled from.
type Parts struct {
	State   auth.State
	Limiter ratelimit.Limiter
	Pools   endpoint.Pools
	Orders  idempotency.Orders
	Client  relay.Client
	Metrics accounting.Metrics
	Log     hclog.Logger

	// Background parts run from Serve until the last request has ended.
	Background []Background
	// OnDrain is called when a shutdown begins, while requests are still
	// served, for example to mark the instance as leaving. It may be nil.
	OnDrain func(ctx context.Context)
	// OnStopped is called after the last request, before the background parts
	// stop, for example to finish records of orders and to leave the
	// membership. It may be nil.
	OnStopped func(ctx context.Context)
}

// Options of an instance.
type Options struct {
	Domain      string // failure domain
	Body        route.Limits
	Seed        uint64 // of random waits; differs between instances
	Answer      relay.Limits
	Listener    listener.Options
	StopTimeout time.Duration // for running requests and OnStopped at a shutdown
	Now         func() time.Time
}

// DefaultOptions returns the options of an instance in a failure domain.
func DefaultOptions(domain string) Options {
	return Options{
		Domain:      domain,
		Body:        route.DefaultLimits(),
		Seed:        rand.Uint64(),
		Answer:      relay.DefaultLimits(),
		Listener:    listener.DefaultOptions(),
		StopTimeout: 10 * time.Minute,
		Now:         time.Now,
	}
}

// Chain returns the filter chain. Every request passes the filters in this
// order; accounting sees all of them but the identifier.
func Chain(p Parts, o Options) chain.Handler {
	last := relay.New(p.Client, o.Answer, o.Now)
	return chain.Build(last.Handle,
		requestid.Filter{},
		accounting.New(p.Metrics, o.Now),
		auth.New(p.State, route.IsOpenRoute),
		route.New(o.Body),
		ratelimit.New(p.Limiter),
		idempotency.New(p.Orders),
		endpoint.New(p.Pools, o.Domain, o.Seed, o.Now),
	)
}

// Router is one instance.
type Router struct {
	parts    Parts
	options  Options
	listener *listener.Listener
}

// New assembles an instance.
func New(p Parts, o Options) *Router {
	l := listener.New(Chain(p, o), p.State.Snapshot, o.Listener, p.Log)
	return &Router{parts: p, options: o, listener: l}
}

// Serve serves callers on ln until ctx ends and then shuts down gracefully:
// running requests go on to their end. It returns an error if a part failed or
// if requests had to be cut after StopTimeout.
func (r *Router) Serve(ctx context.Context, ln net.Listener) error {
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	failed := make(chan error, len(r.parts.Background)+1)
	var wg sync.WaitGroup
	for _, part := range r.parts.Background {
		wg.Go(func() {
			if err := part.Run(parts); err != nil && parts.Err() == nil {
				failed <- err
			}
		})
	}
	wg.Go(func() {
		if err := r.listener.Serve(ln); err != nil {
			failed <- err
		}
	})
	var cause error
	select {
	case <-ctx.Done():
	case cause = <-failed:
		r.parts.Log.Error("part of the instance failed, shutting down", "error", cause)
	}
	err := r.shutdown(context.WithoutCancel(ctx))
	stopParts()
	wg.Wait()
	return errors.CombineErrors(cause, err)
}

func (r *Router) shutdown(ctx context.Context) error {
	r.parts.Log.Info("shutting down", "running", r.listener.Running())
	ctx, cancel := context.WithTimeout(ctx, r.options.StopTimeout)
	defer cancel()
	r.listener.StartDrain()
	if r.parts.OnDrain != nil {
		r.parts.OnDrain(ctx)
	}
	err := r.listener.Shutdown(ctx)
	if r.parts.OnStopped != nil {
		r.parts.OnStopped(ctx)
	}
	return err
}
