// Package objects stands in for the platform's object store.
package objects

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// Faults are switched at run time. Counts apply to that many calls; -1 means
// all. Durations are nanoseconds in JSON.
type Faults struct {
	Down        bool          `json:"down"`         // refuse every call
	Latency     time.Duration `json:"latency"`      // before every call
	LoseAnswers int           `json:"lose_answers"` // execute writes and lose their answers
}

// Options configure a Store.
type Options struct {
	Scale        host.Scale
	ReadsPerSec  float64 // 0: unlimited
	WritesPerSec float64 // 0: unlimited
}

// Store keeps objects in memory. It implements external.ObjectStore.
type Store struct {
	Faults host.Faults[Faults]

	scale   host.Scale
	reads   *rate.Limiter
	writes  *rate.Limiter
	mu      sync.Mutex
	objects map[string][]byte
}

var _ external.ObjectStore = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	return &Store{
		scale: o.Scale, reads: limiter(o.ReadsPerSec), writes: limiter(o.WritesPerSec),
		objects: map[string][]byte{},
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (s *Store) before(ctx context.Context, limit *rate.Limiter) error {
	faults := s.Faults.Get()
	if faults.Down {
		return errors.Wrap(external.ErrUnavailable, "object stand-in is down")
	}
	if err := limit.Wait(ctx); err != nil {
		return errors.Wrap(external.ErrUnavailable, err.Error())
	}
	if err := host.Sleep(ctx, s.scale.Of(faults.Latency)); err != nil {
		return errors.Wrap(external.ErrUnavailable, err.Error())
	}
	return nil
}

// change executes a write and loses its answer when that fault is set.
func (s *Store) change(ctx context.Context, execute func()) error {
	if err := s.before(ctx, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	execute()
	s.mu.Unlock()
	if s.Faults.Use(func(f *Faults) *int { return &f.LoseAnswers }) {
		return errors.Wrap(external.ErrOutcomeUnknown, "answer lost")
	}
	return nil
}

// Put stores a copy of a value.
func (s *Store) Put(ctx context.Context, key string, value []byte) error {
	return s.change(ctx, func() { s.objects[key] = slices.Clone(value) })
}

// Delete removes an object; it is no error if there is none.
func (s *Store) Delete(ctx context.Context, key string) error {
	return s.change(ctx, func() { delete(s.objects, key) })
}

// Get returns a copy of a value.
func (s *Store) Get(ctx context.Context, key string) ([]byte, error) {
	if err := s.before(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if !ok {
		return nil, errors.Wrapf(external.ErrNotFound, "object %q", key)
	}
	return slices.Clone(value), nil
}

// Server serves a Store over HTTP, with /faults.
type Server struct {
	*host.Server
	Store *Store
}

const prefix = "/objects/"

// Start serves a new store on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	store := NewStore(o)
	e := host.NewEcho()
	store.Faults.Register(e, nil)
	e.PUT(prefix+"*", store.handlePut)
	e.GET(prefix+"*", store.handleGet)
	e.DELETE(prefix+"*", store.handleDelete)
	server, err := host.Serve(addr, e)
	if err != nil {
		return nil, err
	}
	return &Server{Server: server, Store: store}, nil
}

// key returns the object key. Keys may contain slashes, which arrive escaped.
func key(c echo.Context) (string, error) {
	return url.PathUnescape(strings.TrimPrefix(c.Request().URL.EscapedPath(), prefix))
}

func (s *Store) handlePut(c echo.Context) error {
	k, err := key(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, external.MaxAnswerBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return answer(c, s.Put(c.Request().Context(), k, value))
}

func (s *Store) handleDelete(c echo.Context) error {
	k, err := key(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return answer(c, s.Delete(c.Request().Context(), k))
}

func (s *Store) handleGet(c echo.Context) error {
	k, err := key(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	value, err := s.Get(c.Request().Context(), k)
	if err != nil {
		return answer(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}

func answer(c echo.Context, err error) error {
	switch {
	case err == nil:
		return c.NoContent(http.StatusNoContent)
	case errors.Is(err, external.ErrNotFound):
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	case errors.Is(err, external.ErrOutcomeUnknown):
		host.Drop()
	}
	return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
}
