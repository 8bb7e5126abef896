package metrics

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	tally "github.com/uber-go/tally/v4"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Bounds on label values. At 1,600 customers, one series per customer would
// make each scrape several megabytes, against a control budget of 25 KB/s.
const (
	namedCustomers = 64  // customers with a label of their own at any time
	everNamed      = 128 // customers that ever had one since the start
	maxClasses     = 32
	maxPools       = 64
)

// Other is the label value of everything beyond a bound; None that of
// requests without a key.
const (
	Other = "other"
	None  = "none"
)

// labels bounds the values of one label: the first ones are kept.
type labels struct {
	mu   sync.Mutex
	most int
	seen map[string]bool
}

// value returns the name, or Other when the bound is reached.
func (l *labels) value(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[name] {
		return name
	}
	if len(l.seen) >= l.most {
		return Other
	}
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	l.seen[name] = true
	return name
}

// Customer records the requests of one customer, or of all customers of a
// class without a label of their own. It is looked up once per request.
type Customer struct {
	m            *Metrics
	class        string
	firstToken   tally.Histogram
	tokenGap     tally.Histogram
	request      tally.Histogram
	promptTokens tally.Counter
	cachedTokens tally.Counter
	outputTokens tally.Counter
	rateRefusals tally.Counter
}

type customers struct {
	named atomic.Pointer[map[string]*Customer] // by customer ID

	mu      sync.Mutex
	names   labels
	classes labels
	others  sync.Map // by class, for customers without a label
	none    *Customer
}

func (c *customers) init(m *Metrics) {
	c.names.most = everNamed
	c.classes.most = maxClasses
	c.named.Store(&map[string]*Customer{})
	c.none = m.newCustomer(None, None)
}

// OnSnapshot gives the customers with the highest rates a label of their own.
// All instances choose the same ones, so that sums over instances are right.
func (m *Metrics) OnSnapshot(s *config.Snapshot) {
	m.customers.mu.Lock()
	defer m.customers.mu.Unlock()
	named := map[string]*Customer{}
	for _, c := range largest(s, namedCustomers) {
		if name := m.customers.names.value(c.ID); name != Other {
			named[c.ID] = m.newCustomer(name, m.customers.classes.value(c.Class))
		}
	}
	m.customers.named.Store(&named)
	m.gauge(defRevision).Update(float64(s.Revision))
	m.gauge(defMembers).Update(float64(len(s.Members.Members)))
}

func largest(s *config.Snapshot, n int) []*config.Customer {
	var all []*config.Customer
	for _, d := range s.Deployments {
		for i := range d.Customers {
			all = append(all, &d.Customers[i])
		}
	}
	slices.SortFunc(all, func(a, b *config.Customer) int {
		return cmp.Or(cmp.Compare(b.RatePerSecond, a.RatePerSecond), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(n, len(all))]
}

// Customer returns the recorder for a customer; nil stands for a request on
// an open route.
func (m *Metrics) Customer(c *config.Customer) *Customer {
	if c == nil {
		return m.customers.none
	}
	if found, ok := (*m.customers.named.Load())[c.ID]; ok {
		return found
	}
	if found, ok := m.customers.others.Load(c.Class); ok {
		return found.(*Customer)
	}
	class := m.customers.classes.value(c.Class)
	made := m.newCustomer(Other, class)
	if class != Other { // keeps the map within the bound on classes
		m.customers.others.Store(class, made)
	}
	return made
}

func (m *Metrics) newCustomer(name, class string) *Customer {
	return &Customer{
		m:            m,
		class:        class,
		firstToken:   m.histogram(defFirstToken, name, class),
		tokenGap:     m.histogram(defTokenGap, name, class),
		request:      m.histogram(defRequest, name, class),
		promptTokens: m.counter(defPromptTokens, name, class),
		cachedTokens: m.counter(defCachedTokens, name, class),
		outputTokens: m.counter(defOutputTokens, name, class),
		rateRefusals: m.counter(defCustomerStarved, name, class),
	}
}

// FirstToken records the time to the first token.
func (c *Customer) FirstToken(d time.Duration) { c.firstToken.RecordDuration(d) }

// TokenGap records the time between two tokens.
func (c *Customer) TokenGap(d time.Duration) { c.tokenGap.RecordDuration(d) }

// Done records a finished request that was answered without an error.
func (c *Customer) Done(total time.Duration) {
	c.request.RecordDuration(total)
	c.m.counter(defResults, c.class, "ok").Inc(1)
}

// Failed records a finished request that was answered with a result code.
func (c *Customer) Failed(total time.Duration, result code.Code) {
	c.request.RecordDuration(total)
	c.m.counter(defResults, c.class, result.Info().Name).Inc(1)
	switch result {
	case code.RateExceeded, code.RequestExceedsBurst:
		c.rateRefusals.Inc(1)
	case code.QuotaUnavailable:
		c.m.counter(defRefusedInRate).Inc(1)
	}
}

// Tokens records the tokens of a completed request as the engine reported
// them.
func (c *Customer) Tokens(prompt, cached, output int) {
	c.promptTokens.Inc(int64(prompt))
	c.cachedTokens.Inc(int64(cached))
	c.outputTokens.Inc(int64(output))
}
