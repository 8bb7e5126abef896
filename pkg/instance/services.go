package instance

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/admin"
	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/member"
	"github.com/fescuestep/fescuestep/pkg/peer"
	"github.com/fescuestep/fescuestep/pkg/router/listener"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/tlsconf"
)

const (
	observeInterval = time.Second
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second // for a whole request; longer than the longest call takes
	stopTimeout     = 3 * time.Second  // for calls under way when a listener stops
)

// maxPeerBytes is the size of the body of a call from another instance; the largest ones
// list the keys that a questionnaire may have.
const maxPeerBytes = 4 << 20

// tlsConfigs are the TLS configurations of the listeners, nil without TLS.
type tlsConfigs struct {
	callers, peers, peerClient, admin, metrics *tls.Config
}

func loadTLS(s *settings.Serve, log hclog.Logger) (t tlsConfigs, err error) {
	load := func(name string, f settings.TLSFiles) *tlsconf.Reloader {
		if !f.Enabled() {
			return nil
		}
		r, loadErr := tlsconf.Load(tlsconf.Files{Cert: f.Cert, Key: f.Key, ClientCA: f.ClientCA}, func(err error) {
			log.Info("TLS files read again", "listener", name, "error", err)
		})
		if loadErr != nil {
			err = errors.CombineErrors(err, errors.Wrapf(loadErr, "TLS of the %s listener", name))
			return nil
		}
		return r
	}
	server := func(r *tlsconf.Reloader) *tls.Config {
		if r == nil {
			return nil
		}
		return r.Server()
	}
	peers := load("peers", s.Peers.TLS)
	t.callers = server(load("callers", s.Callers.TLS))
	t.peers = server(peers)
	t.admin = server(load("admin", s.Admin.TLS))
	t.metrics = server(load("metrics", s.Metrics.TLS))
	if peers != nil {
		t.peerClient = peers.Client()
	}
	return t, err
}

// peerService joins the parts that answer the peer service.
func (i *Instance) servePeers(ctx context.Context) error {
	services := peer.Services{Syncer: i.sync, Joiner: i.members, QuotaGranter: i.limiter}
	server := peer.NewServer(services, string(i.settings.PeerCredential), i.tls.peers)
	server.ErrorLog = i.connectionLog()
	server.Handler = http.MaxBytesHandler(server.Handler, maxPeerBytes)
	server.MaxHeaderBytes = listener.DefaultOptions().MaxHeader
	server.IdleTimeout = i.settings.IdleTimeout
	callerguard.Protect(server)
	return serveUntil(ctx, server, func() error { return peer.Serve(server, i.listeners.peers) })
}

// connectionLog takes what http.Server reports about single connections, such
// as failed TLS handshakes, which anyone can cause.
func (i *Instance) connectionLog() *log.Logger {
	return i.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

func (i *Instance) serveAdmin(ctx context.Context) error {
	if i.listeners.admin == nil {
		return nil
	}
	service := admin.New(admin.Options{
		State:     i.sync,
		Publisher: i.sync,
		Pools:     i.pools,
		Orders:    i.orders,
		Wait:      admin.DefaultWait,
		Metrics:   i.metrics,
		Log:       i.log.Named("admin"),
	})
	return i.serveHTTP(ctx, i.listeners.admin, admin.Handler(service, string(i.settings.AdminCredential)))
}

func (i *Instance) serveMetrics(ctx context.Context) error {
	if i.listeners.metrics == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", i.metrics.Handler())
	return i.serveHTTP(ctx, i.listeners.metrics, mux)
}

func (i *Instance) serveHTTP(ctx context.Context, ln net.Listener, h http.Handler) error {
	server := callerguard.Protect(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    listener.DefaultOptions().MaxHeader,
		IdleTimeout:       i.settings.IdleTimeout,
		ErrorLog:          i.connectionLog(),
	})
	return serveUntil(ctx, server, func() error { return server.Serve(ln) })
}

// serveUntil runs serve until ctx ends and then shuts the server down.
func serveUntil(ctx context.Context, server *http.Server, serve func() error) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	err := serve()
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// observe sets the gauges that no event updates.
func (i *Instance) observe(ctx context.Context) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		fresh, age := i.sync.Freshness()
		i.metrics.Fresh(fresh, age)
		i.feed.Observe(time.Now(), i.pools.Status())
		status := i.rollout.Status()
		i.metrics.ControlLeader(status.Leader)
		i.metrics.WeightLoads(status.Progress.Loading)
	}
}

// sweepOrders removes old orders on one instance of the fleet.
func (i *Instance) sweepOrders(ctx context.Context) error {
	i.orders.RunSweep(ctx, func() bool {
		first := member.Rank(i.sync.Snapshot().Members.Members, "sweeper", 1)
		return len(first) == 1 && first[0].ID == i.self.ID
	})
	return nil
}
