package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/routing"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// Run serves until ctx is done or the listener for callers fails, and then shuts
// down gracefully. It returns an error if a listen address cannot be opened, if
// the listener failed, or if requests were still running after ShutdownGrace.
func (i *Instance) Run(ctx context.Context) error {
	callers, err := netopt.Listen(ctx, i.options.CallerAddr.String())
	if err != nil {
		return errors.Wrap(err, "cannot listen for callers")
	}
	forwards, err := netopt.Listen(ctx, i.options.PeerAddr.String())
	if err != nil {
		return errors.Wrap(err, "cannot listen for requests that other instances forward")
	}
	servers, err := i.controlServers(ctx)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var wg sync.WaitGroup
	wg.Go(func() { i.pauses.run(background) })
	wg.Go(func() { i.follower.Run(background) })
	wg.Go(func() { i.peers.run(background) })
	wg.Go(func() { i.peers.keepRegistered(background, i.deps.Store, i.options.InstanceTable) })
	wg.Go(func() { i.crashRows.run(background) })
	wg.Go(func() { i.versionRows.run(background) })
	wg.Go(func() { i.rollouts.run(background, ctx.Done()) })
	wg.Go(func() { i.releases.run(background) })
	wg.Go(func() { i.conns.Run(background) })
	wg.Go(func() { i.instanceConns.Run(background) })
	wg.Go(func() { i.reach.run(background) })
	wg.Go(func() { i.admitter.run(background) })
	wg.Go(func() { i.recordTableAges(background) })
	capacity := &capacityWatch{i.placer, i.deps.ServiceMetrics, i.deps.Log.Named("capacity"), map[string]bool{}}
	wg.Go(func() { capacity.run(background) })
	acceptErr := make(chan error, 2)
	go func() { acceptErr <- i.listener.accept(callers) }()
	go func() { acceptErr <- i.forwards.accept(forwards) }()
	i.deps.Log.Info("started", "instance", i.options.Name, "domain", i.options.Domain, "callers", i.options.CallerAddr.String())
	select {
	case <-ctx.Done():
	case err = <-acceptErr:
		i.deps.Log.Error("listener for callers stopped", "error", err)
	}
	shutdownErr := i.shutdown(callers, forwards)
	stopBackground()
	for _, server := range servers {
		_ = server.Close()
	}
	wg.Wait()
	return errors.CombineErrors(err, shutdownErr)
}

const (
	// drainDuration is how long an instance still accepts requests after it
	// reports not ready: the platform polls readiness once per second and acts
	// after two failed checks.
	drainDuration = 2300 * time.Millisecond
	// shutdownReserve is the time left between the moment when running requests are ended
	// and the one when the platform kills the process. answerTime of it is for their answers.
	shutdownReserve = 500 * time.Millisecond
	answerTime      = 250 * time.Millisecond
)

// shutdown keeps serving until the platform has taken the instance out of
// rotation, and then waits for running requests to end. Requests that arrive later
// on kept-alive connections are refused as not run, since they might not complete
// before the process is killed. Those that run until then are answered with an error.
func (i *Instance) shutdown(callers, forwards net.Listener) error {
	began := i.now()
	i.deps.Log.Info("stopping", "running", i.listener.running.Load()+i.forwards.running.Load(), "grace", i.options.ShutdownGrace.String())
	i.draining.Store(true)
	i.listener.startDrain()
	i.forwards.startDrain()
	i.peers.setLeaving()
	time.Sleep(min(drainDuration, i.options.ShutdownGrace/3))
	ends := began.Add(i.options.ShutdownGrace - shutdownReserve)
	i.endsAt.Store(&ends)
	i.listener.refuseNew()
	i.forwards.refuseNew()
	i.admitter.stop()
	endTimer := time.AfterFunc(ends.Sub(i.now()), func() {
		i.listener.endRequests()
		i.forwards.endRequests()
	})
	defer endTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), ends.Add(answerTime))
	defer cancel()
	var forwardsErr error
	var wg sync.WaitGroup
	wg.Go(func() { forwardsErr = i.forwards.stop(ctx, forwards) })
	err := i.listener.stop(ctx, callers)
	wg.Wait()
	err = errors.CombineErrors(err, forwardsErr)
	i.deps.Log.Info("stopped", "after", i.now().Sub(began).String(), "error", err)
	return errors.Wrap(err, "requests were still running at the end of the shutdown")
}

// requestsEndAt returns when this instance ends all requests, or zero while it takes new
// ones.
func (i *Instance) requestsEndAt() time.Time {
	if ends := i.endsAt.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// introductionTimeout is how long after its first state an instance waits for what
// others know beyond the rows of the store.
const introductionTimeout = 600 * time.Millisecond

// ready reports whether the platform should send connections to this instance: it
// has a configuration, has synchronized every table, was told by another instance
// what the store may not know, and is not shutting down.
func (i *Instance) ready() bool {
	if i.draining.Load() || i.snapshot.Load() == nil || !i.follower.HasSynced() {
		return false
	}
	if !i.releases.known() && i.now().Sub(*i.configuredAt.Load()) <= releaseKnownTimeout {
		return false
	}
	return i.peers.introduced.Load() || i.now().Sub(*i.configuredAt.Load()) > introductionTimeout
}

// controlReadTimeout limits the time in which a whole request to a control server arrives,
// and maxControlBytes the size of its body; calls of other instances have small ones.
const (
	controlReadTimeout = 5 * time.Second
	maxControlBytes    = 64 << 10
)

// controlFields is the number of header fields of requests to control servers.
func controlFields() int { return callerguard.DefaultFields(routing.DefaultLimits().HeaderBytes) }

// controlServers starts the HTTP servers for readiness checks and metrics, and for
// RPCs from other instances.
func (i *Instance) controlServers(ctx context.Context) ([]*http.Server, error) {
	e := echo.New()
	e.GET(i.options.ReadinessPath, func(c echo.Context) error {
		if !i.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(RolloutsPath, func(c echo.Context) error { return c.JSON(http.StatusOK, i.releases.reports()) })
	e.GET("/metrics", echo.WrapHandler(i.deps.MetricsHandler))
	if i.options.Profiles {
		serveProfiles(e)
	}
	handlers := map[netip.AddrPort]http.Handler{i.options.ReadinessAddr: e}
	if i.options.ControlAddr.IsValid() {
		handlers[i.options.ControlAddr] = http.MaxBytesHandler(i.stateHandler(), maxControlBytes)
	}
	var servers []*http.Server
	for addr, handler := range handlers {
		ln, err := netopt.Listen(ctx, addr.String())
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s", addr)
		}
		server := callerguard.Protect(&http.Server{Handler: handler, ReadHeaderTimeout: dialTimeout, ReadTimeout: controlReadTimeout, IdleTimeout: time.Minute})
		servers = append(servers, server)
		go func() {
			if err := server.Serve(i.guard.Listen(ln, callerguard.ListenerOptions{Name: addr.String(), Fields: controlFields})); !errors.Is(err, http.ErrServerClosed) {
				i.deps.Log.Error("control server stopped", "addr", addr.String(), "error", err)
			}
		}()
	}
	return servers, nil
}

// stateHandler returns the handler of RPCs from other instances.
func (i *Instance) stateHandler() http.Handler {
	return meterState(rpc.NewEdgeServer(i.peers), i.deps.ServiceMetrics, i.deps.Log.Named("peers"), i.now)
}
