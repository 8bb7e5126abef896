// Package list stands in for the platform's lagging list of instances.
package list

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// Faults are switched at run time. Durations are nanoseconds in JSON.
type Faults struct {
	Down   bool          `json:"down"`
	Lag    time.Duration `json:"lag"`    // in addition to the configured lag
	Frozen bool          `json:"frozen"` // answer what was last answered
	Omit   []string      `json:"omit"`   // instance IDs wrongly left out
}

// Options configure a Store.
type Options struct {
	Scale host.Scale
	Lag   time.Duration // between a change and its appearance
}

// Store keeps the list and its recent versions. It implements
// external.InstanceList.
type Store struct {
	Faults host.Faults[Faults]

	options Options
	mu      sync.Mutex
	history []version // oldest first, never empty
	last    []external.Instance

	unchanged atomic.Int64
}

// Unchanged returns how often the list was answered with "not modified".
func (s *Store) Unchanged() int { return int(s.unchanged.Load()) }

type version struct {
	at        time.Time
	instances map[string]external.Instance
}

var _ external.InstanceList = (*Store)(nil)

// NewStore returns an empty list.
func NewStore(o Options) *Store {
	return &Store{options: o, history: []version{{instances: map[string]external.Instance{}}}}
}

// Put adds or replaces an instance.
func (s *Store) Put(instance external.Instance) {
	s.change(func(m map[string]external.Instance) { m[instance.ID] = instance })
}

// Remove deletes an instance.
func (s *Store) Remove(id string) {
	s.change(func(m map[string]external.Instance) { delete(m, id) })
}

// maxHistory bounds the kept versions; older ones count as visible.
const maxHistory = 4096

func (s *Store) change(apply func(map[string]external.Instance)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.history[len(s.history)-1].instances)
	apply(next)
	s.history = append(s.history, version{at: time.Now(), instances: next})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[1:])
	}
}

// List implements external.InstanceList; entries are ordered by ID.
func (s *Store) List(context.Context) ([]external.Instance, error) {
	faults := s.Faults.Get()
	if faults.Down {
		return nil, errors.Wrap(external.ErrUnavailable, "list stand-in is down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Frozen && s.last != nil {
		return slices.Clone(s.last), nil
	}
	lag := s.options.Scale.Of(s.options.Lag + faults.Lag)
	visible := s.visible(time.Now().Add(-lag))
	out := make([]external.Instance, 0, len(visible))
	for _, id := range slices.Sorted(maps.Keys(visible)) {
		if !slices.Contains(faults.Omit, id) {
			out = append(out, visible[id])
		}
	}
	s.last = out
	return slices.Clone(out), nil
}

// visible returns the newest version not after the time.
func (s *Store) visible(at time.Time) map[string]external.Instance {
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i].instances
		}
	}
	return s.history[0].instances
}

// Server serves a Store: GET and PUT /instances, DELETE /instances/<id>,
// /faults.
type Server struct {
	*host.Server
	Store *Store
}

// Start serves a new list on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	store := NewStore(o)
	e := host.NewEcho()
	store.Faults.Register(e, nil)
	e.GET("/instances", store.handleList)
	e.PUT("/instances", store.handlePut)
	e.DELETE("/instances/:id", func(c echo.Context) error {
		store.Remove(c.Param("id"))
		return c.NoContent(http.StatusNoContent)
	})
	server, err := host.Serve(addr, e)
	if err != nil {
		return nil, err
	}
	return &Server{Server: server, Store: store}, nil
}

func (s *Store) handleList(c echo.Context) error {
	instances, err := s.List(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	data, err := json.Marshal(instances)
	if err != nil {
		return err
	}
	tag := fmt.Sprintf("\"%016x\"", xxh3.Hash(data))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		s.unchanged.Add(1)
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, data)
}

func (s *Store) handlePut(c echo.Context) error {
	var instance external.Instance
	if err := c.Bind(&instance); err != nil {
		return err
	}
	if instance.ID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "an instance needs an id")
	}
	s.Put(instance)
	return c.NoContent(http.StatusNoContent)
}
