// Package routing holds the dynamic configuration of an edge instance: routes
// by host and path prefix, the services behind them, customers with their keys
// and limits. A Snapshot is immutable and replaced as a whole.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // runs at most once per request
	Stream             // a stream of events; runs at most once unless resumable
)

// String returns the name used in logs.
func (k Kind) String() string { return [...]string{"safe", "unsafe", "stream"}[k] }

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name           string
	Host           string // lower case, without port
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Split          []WeightedService
	Timeout        time.Duration // longest time that a caller is kept waiting
	TargetLatency  time.Duration // to the whole answer, for streams to the first event
	TargetEventGap time.Duration // longest pause between events of an answer on time
	Priority       int           // 0 is the most urgent
	MaxAttempts    int           // upstreams that one request may be sent to
	Public         bool          // needs no key
	HasPrompt      bool          // requests state a model and the parts of their prompt
	Resumable      bool          // a stream may go on at another upstream
}

// WeightedService is a service's weight in a route's split.
type WeightedService struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService picks a service of the split; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a set of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	ConnLimit  int      // connections that one upstream accepts from all callers
	Engine     *Engine  // nil for plain services
	KVStore    *KVStore // set for a store of KV cache, which takes no requests
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots      int      // requests computed at once
	KVTokens   int      // memory of one engine in tokens
	TokenBytes int      // KV cache of one token
	LinkMbps   float64  // of one engine for moves of KV cache, Mbit/s
	Models     []string // served
}

// KVStore keeps KV cache apart from engines.
type KVStore struct {
	Addr     string // IP:port
	Domain   string // failure domain
	KVTokens int    // room in tokens
	LinkMbps float64
}

// Customer is a holder of keys with a common rate.
type Customer struct {
	Name                 string
	Priority             int     // 0 is the most urgent; counts when HasPriority is set
	HasPriority          bool    // Priority goes before that of routes
	Isolated             bool    // shares no KV cache with other customers
	Rate                 float64 // tokens per second over all instances; 0: no limit
	Burst                float64 // tokens
	DefaultRequestTokens int     // charged for a request that states no token counts
	CountsRequests       bool    // Rate and Burst count requests instead of tokens
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a connection without request
}

// DefaultLimits apply until the first configuration is known.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Config is the content of a Snapshot.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Keys      map[string]string // customer name by key
	Limits    Limits
}

// Snapshot is an immutable, indexed Config.
type Snapshot struct {
	Version uint64
	Limits  Limits

	routes       map[string][]*Route // by host, longest prefix first
	services     map[string]*Service
	customers    map[string]*Customer
	keys         map[string]*Customer
	keysRequired bool
}

// New indexes c, which must not be modified afterwards.
func New(c Config) *Snapshot {
	s := &Snapshot{
		Version: c.Version, Limits: c.Limits,
		routes:       map[string][]*Route{},
		services:     make(map[string]*Service, len(c.Services)),
		customers:    make(map[string]*Customer, len(c.Customers)),
		keys:         make(map[string]*Customer, len(c.Keys)),
		keysRequired: len(c.Customers) > 0,
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		s.routes[r.Host] = append(s.routes[r.Host], r)
	}
	for _, list := range s.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		s.customers[c.Customers[i].Name] = &c.Customers[i]
	}
	for key, name := range c.Keys {
		if customer := s.customers[name]; customer != nil {
			s.keys[key] = customer
		}
	}
	return s
}

// Match returns the route of a host, as sent by the caller, and a path with
// the longest prefix, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of the route must show a key.
func (s *Snapshot) NeedsKey(r *Route) bool { return s.keysRequired && !r.Public }

// CustomerByKey returns the customer that holds the key, or nil.
func (s *Snapshot) CustomerByKey(key string) *Customer { return s.keys[key] }

// Service returns the service with the name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services returns all services ordered by name.
func (s *Snapshot) Services() []*Service {
	out := make([]*Service, 0, len(s.services))
	for _, service := range s.services {
		out = append(out, service)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Customers returns all customers ordered by name.
func (s *Snapshot) Customers() []*Customer {
	out := make([]*Customer, 0, len(s.customers))
	for _, c := range s.customers {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// KVStoreFor returns the store of KV cache that engines save to: the first by
// name in the failure domain, otherwise the first of all; nil without one.
func (s *Snapshot) KVStoreFor(domain string) *KVStore {
	var first *KVStore
	for _, service := range s.Services() {
		switch {
		case service.KVStore == nil:
		case service.KVStore.Domain == domain:
			return service.KVStore
		case first == nil:
			first = service.KVStore
		}
	}
	return first
}
