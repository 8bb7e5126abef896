// Package routing holds the dynamic configuration of an edge instance: routes
// by host and path prefix, the services they lead to, customers with their keys,
// and limits. A Snapshot is immutable and replaced as a whole.
package routing

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Kind says whether requests of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	Safe   Kind = iota // a request may run more than once
	Unsafe             // a request runs at most once
	Stream             // the response is a stream of events; a request runs at most once unless the route is resumable
)

// String returns the name used in logs.
func (k Kind) String() string { return [...]string{"safe", "unsafe", "stream"}[k] }

// Route sends requests with a host and path prefix to services.
type Route struct {
	Name           string
	Host           string // lower case, without port
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Split          []WeightedService
	Timeout        time.Duration // longest time from receipt of a request to its deadline
	TargetLatency  time.Duration // target for the time to the complete response, for streams to the first event
	TargetEventGap time.Duration // target for the longest pause between two events of a stream
	Priority       int           // 0 is the most urgent
	MaxAttempts    int           // number of upstreams that a request may be sent to
	Public         bool          // requests need no API key
	HasPrompt      bool          // requests state a model and the parts of their prompt
	Resumable      bool          // another upstream may continue a stream that broke off
}

// WeightedService is a service with its weight in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService returns the name of a service of the split, chosen by weight. draw
// is a random number, uniformly distributed in [0, 1).
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

// Services returns the names of the services that get requests, in the order of the split.
func (r *Route) Services() []string {
	var out []string
	for _, s := range r.Split {
		if s.Weight > 0 {
			out = append(out, s.Service)
		}
	}
	return out
}

// MayResume reports whether a broken stream of the route may go on at another upstream.
func (r *Route) MayResume() bool { return r.Kind == Stream && r.Resumable }

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	ConnLimit  int      // connections that one upstream accepts in total
	Engine     *Engine  // nil for plain services
	KVStore    *KVStore // set for a KV cache store, which receives no requests
}

// Engine describes each engine of a service.
type Engine struct {
	Slots      int      // requests that run at once
	KVTokens   int      // capacity of the KV cache in tokens
	TokenBytes int      // size of the KV cache of one token
	LinkMbps   float64  // bandwidth for KV cache transfers, Mbit/s
	Models     []string // names of the models served
}

// KVStore is a store that keeps KV cache outside of engines.
type KVStore struct {
	Addr     string  // IP:port
	Domain   string  // failure domain
	KVTokens int     // capacity in tokens
	LinkMbps float64 // bandwidth, Mbit/s
}

// Customer is a holder of API keys, which share one rate limit.
type Customer struct {
	Name                 string
	Priority             int     // 0 is the most urgent; used if HasPriority is true
	HasPriority          bool    // Priority takes precedence over that of routes
	Isolated             bool    // shares no KV cache with other customers
	Rate                 float64 // tokens per second across all instances; 0: no limit
	Burst                float64 // tokens
	DefaultRequestTokens int     // charged for a request that states no token counts
	CountsRequests       bool    // Rate and Burst count requests instead of tokens
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a connection between requests
}

// DefaultLimits returns the limits that apply until the first configuration is
// known.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Config is the content of a Snapshot.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Keys      map[string]string // customer name by API key
	Limits    Limits

	SharedKeys []string // customers with a key that a later one in the list has, too; Keys has the later one
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
	sharers      string // see Sharers
	config       Config
}

// New returns a snapshot of c, which must not be modified afterwards. Keys of
// unknown customers are dropped.
func New(c Config) *Snapshot {
	s := &Snapshot{
		Version: c.Version, Limits: c.Limits,
		routes:       map[string][]*Route{},
		services:     make(map[string]*Service, len(c.Services)),
		customers:    make(map[string]*Customer, len(c.Customers)),
		keys:         make(map[string]*Customer, len(c.Keys)),
		keysRequired: len(c.Customers) > 0,
		config:       c,
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
	s.sharers = sharers(c.Customers)
	return s
}

// Config returns the configuration that the snapshot was made from. It must not be
// modified.
func (s *Snapshot) Config() Config { return s.config }

// sharers identifies the customers that share KV cache by those that do not.
func sharers(customers []Customer) string {
	var isolated []string
	for _, c := range customers {
		if c.Isolated {
			isolated = append(isolated, c.Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	h := xxh3.New()
	for _, name := range isolated {
		_, _ = h.WriteString(strconv.Itoa(len(name)) + ":" + name) // never fails
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Sharers identifies the customers that share KV cache; empty if all do. It differs before
// and after a customer is isolated, so that what its requests have read is left behind.
func (s *Snapshot) Sharers() string { return s.sharers }

// Match returns the route with the longest matching path prefix for the host,
// which may have a port and any case, or nil if there is none.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes, in no order.
func (s *Snapshot) Routes() []*Route {
	var out []*Route
	for _, list := range s.routes {
		out = append(out, list...)
	}
	return out
}

// normalizeHost removes the port and converts to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of the route must have an API key: the
// route is not public and customers are configured.
func (s *Snapshot) NeedsKey(r *Route) bool { return s.keysRequired && !r.Public }

// CustomerByKey returns the customer that holds the API key, or nil.
func (s *Snapshot) CustomerByKey(key string) *Customer { return s.keys[key] }

// Service returns the service with the given name, or nil.
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

// KVStoreFor returns the KV cache store that an instance in the given failure
// domain has engines save to: the first by name in the domain, otherwise the
// first by name overall. It returns nil if there is none.
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
