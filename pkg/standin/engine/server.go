package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
	"github.com/fescuestep/fescuestep/pkg/transport"
)

// Server is one engine. It keeps its address over crashes and restarts; each
// start is a new incarnation with an empty cache.
type Server struct {
	Faults host.Faults[Faults]

	options Options
	addr    string
	client  *transport.Client // to the KV store
	store   *external.WeightClient

	mu       sync.Mutex
	current  *life // nil while down
	served   *host.Server
	starts   int
	stats    Stats
	commands []ReceivedCommand
	held     durable
	leaving  bool

	crash    chan struct{}
	stop     context.CancelFunc
	watching sync.WaitGroup
}

// durable is what an engine knows again after a restart.
type durable struct {
	weights  string
	adapters []string
	role     string
	token    uint64 // highest fencing token seen
}

// incarnations makes incarnation names unique within the process.
var incarnations atomic.Uint64

// Start starts an engine on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	o = o.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		options: o, addr: addr, stop: stop, crash: make(chan struct{}, 1),
		client: transport.New(transport.Options{}),
		held:   durable{weights: o.Weights, role: o.Role},
	}
	if o.WeightsAddr != "" {
		s.store = external.NewWeightClient(o.WeightsAddr, 0)
	}
	if err := s.Restart(); err != nil {
		stop()
		return nil, err
	}
	s.watching.Add(1)
	go s.watch(ctx)
	return s, nil
}

// Addr returns the listen address (IP:port).
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Options returns the options in force.
func (s *Server) Options() Options { return s.options }

// Close stops the engine for good.
func (s *Server) Close() {
	s.stop()
	s.watching.Wait()
	s.shutDown()
	s.client.Close()
	if s.store != nil {
		s.store.Close()
	}
}

// Crash closes all connections and forgets the cache and all requests.
func (s *Server) Crash() {
	if s.shutDown() {
		s.count(func(t *Stats) { t.Crashes++ })
	}
}

// shutDown ends the current incarnation and reports whether there was one.
func (s *Server) shutDown() bool {
	s.mu.Lock()
	l, served := s.current, s.served
	s.current, s.served = nil, nil
	s.mu.Unlock()
	if l == nil {
		return false
	}
	l.end()
	served.Close()
	l.work.Wait()
	return true
}

// Restart starts a new incarnation after a crash. It does nothing while the
// engine runs.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	l := newLife(s, s.held)
	served, err := host.Serve(s.addr, s.handler(l))
	if err != nil {
		l.end()
		return err
	}
	s.starts++
	s.addr = served.Addr()
	s.current, s.served = l, served
	l.start()
	return nil
}

// watch crashes and restarts the engine on behalf of its handlers, which
// cannot wait for themselves.
func (s *Server) watch(ctx context.Context) {
	defer s.watching.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.crash:
		}
		s.Crash()
		after := s.Faults.Get().RestartAfter
		if after == 0 {
			continue
		}
		if host.Sleep(ctx, s.options.Scale.Of(after)) != nil {
			return
		}
		_ = s.Restart()
	}
}

// requestCrash asks watch for a crash.
func (s *Server) requestCrash() {
	select {
	case s.crash <- struct{}{}:
	default:
	}
}

// Leave marks the engine as leaving in its load reports. It goes on serving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Incarnation returns the current incarnation, empty while down.
func (s *Server) Incarnation() string {
	if l := s.life(); l != nil {
		return l.incarnation
	}
	return ""
}

func (s *Server) life() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// handler builds the routes of one incarnation.
func (s *Server) handler(l *life) http.Handler {
	e := host.NewEcho()
	s.Faults.Register(e, s.faultsChanged)
	e.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	e.GET("/commands", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Commands()) })
	e.POST("/leave", func(c echo.Context) error {
		s.Leave()
		return c.NoContent(http.StatusNoContent)
	})
	g := e.Group("", l.pausable)
	g.POST("/v1/chat/completions", l.handleChat)
	g.POST("/v1/completions", l.handleCompletion)
	g.GET("/v1/models", l.handleModels)
	g.GET("/events", l.handleEvents)
	g.GET("/load", l.handleLoad)
	g.GET("/control", l.handleState)
	g.POST("/control", l.handleControl)
	g.POST("/kv/export", l.handleExport)
	g.POST("/kv/import", l.handleImport)
	return e
}

func (s *Server) faultsChanged() {
	crash := false
	s.Faults.Update(func(f *Faults) { crash, f.CrashNow = f.CrashNow, false })
	if crash {
		s.requestCrash()
	}
}

func (s *Server) nextIncarnation() string {
	return fmt.Sprintf("%s-%d-%d", s.options.ID, incarnations.Add(1), time.Now().UnixNano())
}
