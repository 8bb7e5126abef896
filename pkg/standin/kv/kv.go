// Package kv stands in for a KV store: engines export computed blocks to it
// and import them from it.
package kv

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// Faults are switched at run time. Durations are nanoseconds in JSON.
type Faults struct {
	Down    bool          `json:"down"`
	Latency time.Duration `json:"latency"`
}

// DefaultCapacity is the number of blocks that a store keeps by default.
const DefaultCapacity = 4096

// Options configure a store.
type Options struct {
	Scale    host.Scale
	Capacity int // blocks, least recently used first out; 0: DefaultCapacity
}

// Counts are the executed calls.
type Counts struct {
	Puts   uint64 `json:"puts"`
	Hits   uint64 `json:"hits"`
	Misses uint64 `json:"misses"`
	Blocks int    `json:"blocks"`
}

// Store keeps which blocks were exported. Their contents play no role.
type Store struct {
	Faults host.Faults[Faults]

	options Options
	mu      sync.Mutex
	blocks  map[block.Hash]*list.Element
	order   *list.List // of block.Hash, most recently used first
	counts  Counts
}

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	if o.Capacity == 0 {
		o.Capacity = DefaultCapacity
	}
	return &Store{options: o, blocks: map[block.Hash]*list.Element{}, order: list.New()}
}

// Put stores a block.
func (s *Store) Put(h block.Hash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Puts++
	if element, ok := s.blocks[h]; ok {
		s.order.MoveToFront(element)
		return
	}
	s.blocks[h] = s.order.PushFront(h)
	if s.order.Len() > s.options.Capacity {
		oldest := s.order.Back()
		delete(s.blocks, s.order.Remove(oldest).(block.Hash))
	}
}

// Has reports whether a block is stored and counts the lookup.
func (s *Store) Has(h block.Hash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	element, ok := s.blocks[h]
	if !ok {
		s.counts.Misses++
		return false
	}
	s.counts.Hits++
	s.order.MoveToFront(element)
	return true
}

// Counts returns the executed calls.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Blocks = s.order.Len()
	return counts
}

// Server serves a Store: PUT and GET /kv/<hash>, GET /counts, /faults.
type Server struct {
	*host.Server
	Store *Store
}

// Path returns the path of a block.
func Path(h block.Hash) string { return "/kv/" + strconv.FormatUint(uint64(h), 16) }

// Start serves a new store on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	store := NewStore(o)
	e := host.NewEcho()
	store.Faults.Register(e, nil)
	e.PUT("/kv/:hash", store.handle(func(h block.Hash) int {
		store.Put(h)
		return http.StatusNoContent
	}))
	e.GET("/kv/:hash", store.handle(func(h block.Hash) int {
		if store.Has(h) {
			return http.StatusNoContent
		}
		return http.StatusNotFound
	}))
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, store.Counts()) })
	server, err := host.Serve(addr, e)
	if err != nil {
		return nil, err
	}
	return &Server{Server: server, Store: store}, nil
}

func (s *Store) handle(execute func(block.Hash) int) echo.HandlerFunc {
	return func(c echo.Context) error {
		hash, err := strconv.ParseUint(c.Param("hash"), 16, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "block hash is not hexadecimal")
		}
		faults := s.Faults.Get()
		if faults.Down {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "KV stand-in is down")
		}
		if err := host.Sleep(c.Request().Context(), s.options.Scale.Of(faults.Latency)); err != nil {
			return err
		}
		return c.NoContent(execute(block.Hash(hash)))
	}
}
