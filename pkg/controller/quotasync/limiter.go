// Package quotasync charges requests against the quota shares of this and other
// instances.
package quotasync

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/member"
	"github.com/fescuestep/fescuestep/pkg/quota"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

// State is the part of configsync that quota needs.
type State interface {
	Snapshot() *config.Snapshot
	Fresh() bool
	Accepted() uint64
	Subscribe(f func(s *config.Snapshot, contiguous bool))
}

// Peers gives access to other instances.
type Peers interface {
	Peer(addr string) rpc.Peer
}

// Options are the dependencies of a Limiter.
type Options struct {
	Self  config.Member
	State State
	Peers Peers
	Log   hclog.Logger
	// WaitBound is how long Take waits for tokens, 0 for DefaultWaitBound.
	WaitBound time.Duration
}

// DefaultWaitBound is below the lease, so that what was collected first can
// still be spent when the last tokens arrive.
const DefaultWaitBound = 700 * time.Millisecond

// Periods of the limiter.
const (
	tick           = 50 * time.Millisecond  // share growth, settlements, stock
	acquireTimeout = 250 * time.Millisecond // a holder across a region answers within a few ms
	returnTimeout  = 500 * time.Millisecond
	minWait        = 10 * time.Millisecond // between rounds of asking
	retryDown      = time.Second           // Retry-After while too few holders answer
	entryIdle      = time.Minute           // then what is known of a customer's holders is dropped
)

// Charge is tokens taken from a customer's quota. Settle is called once with
// the tokens that were used and returns the rest.
type Charge = interface{ Settle(used int) }

// Limiter implements the Limiter of the design page and the Holder of the peer
// service.
type Limiter struct {
	o     Options
	start time.Time

	mu      sync.Mutex
	holder  *quota.Holder
	entries map[string]*entry
	askers  map[string]*asker  // by member ID
	outbox  map[string]*outbox // by member ID
	// sequence is the highest one used in any outbox; a recreated outbox
	// continues there, so that a holder never takes its messages for repeats.
	sequence uint64
	pending  []*charge // charges with parts not reported as spent
}

// entry is what this instance knows of one customer.
type entry struct {
	stock    *quota.GrantPool
	views    []*quota.HolderView // share holders, including this instance
	holders  []config.Member
	revision uint64 // of the snapshot the views are for
	known    bool
	used     time.Duration // last request
	demand   float64       // tokens per tick that came from other holders, smoothed
	taken    int           // of these in the current tick
	asking   bool          // a prefetch is under way
	queue    []*gather     // requests that wait for tokens, oldest first
}

// New returns a limiter and subscribes it to the configuration.
func New(o Options) *Limiter {
	if o.WaitBound == 0 {
		o.WaitBound = DefaultWaitBound
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	l := &Limiter{
		o: o, start: time.Now(),
		holder:  quota.NewHolder(o.Self.ID, o.Self.Incarnation, quota.LeaseDuration),
		entries: map[string]*entry{},
		askers:  map[string]*asker{},
		outbox:  map[string]*outbox{},
	}
	o.State.Subscribe(l.onSnapshot)
	return l
}

// Run settles charges and keeps shares and stocks current until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

func (l *Limiter) now() time.Duration { return time.Since(l.start) }

func (l *Limiter) onSnapshot(s *config.Snapshot, contiguous bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.OnSnapshot(l.now(), s, contiguous)
}

func (l *Limiter) tick(ctx context.Context) {
	l.mu.Lock()
	now := l.now()
	l.holder.OnAccepted(now, l.o.State.Accepted())
	l.holder.ExpireSenders(now)
	l.reportSpent()
	l.tendStocks(now)
	messages := l.collectReturns()
	l.mu.Unlock()
	for _, m := range messages {
		go l.sendReturn(ctx, m)
	}
}

// Take charges tokens to a customer. It waits until it has collected them from
// enough holders, until ctx ends or until it is clear that the wait bound would
// be exceeded. The error is a *code.Error.
func (l *Limiter) Take(ctx context.Context, customer *config.Customer, tokens int) (Charge, error) {
	if tokens <= 0 {
		return &charge{limiter: l}, nil
	}
	if float64(tokens) > customer.Burst {
		return nil, code.New(code.RequestExceedsBurst, "The request needs %d tokens; the burst is %.0f.", tokens, customer.Burst)
	}
	g := &gather{
		limiter: l, customer: customer, tokens: tokens,
		stock:    quota.NewGrantPool(quota.LeaseDuration),
		deadline: l.now() + l.o.WaitBound,
		news:     make(chan struct{}, 1),
	}
	c, err := g.run(ctx)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// entryOf returns the customer's entry with views of the current holders. l.mu
// must be held.
func (l *Limiter) entryOf(customer *config.Customer) *entry {
	e, ok := l.entries[customer.ID]
	if !ok {
		e = &entry{stock: quota.NewGrantPool(quota.LeaseDuration)}
		l.entries[customer.ID] = e
	}
	s := l.o.State.Snapshot()
	if !e.known || e.revision != s.Revision {
		e.known, e.revision = true, s.Revision
		e.holders = member.ShareHolders(s.Members, customer.ID)
		e.views = renewViews(e.views, e.holders, customer)
	}
	return e
}

// renewViews returns the views of the holders and keeps what is known of them.
func renewViews(old []*quota.HolderView, holders []config.Member, customer *config.Customer) []*quota.HolderView {
	k := float64(len(holders))
	share := quota.Share{Rate: customer.RatePerSecond / k, Burst: customer.Burst / k}
	out := make([]*quota.HolderView, len(holders))
	for i, h := range holders {
		out[i] = &quota.HolderView{Holder: h.ID, Share: share}
		for _, v := range old {
			if v.Holder == h.ID && v.Reported {
				out[i] = v
			}
		}
	}
	return out
}

func (e *entry) view(holder string) *quota.HolderView {
	for _, v := range e.views {
		if v.Holder == holder {
			return v
		}
	}
	return nil
}

func (e *entry) holder(id string) (config.Member, bool) {
	for _, h := range e.holders {
		if h.ID == id {
			return h, true
		}
	}
	return config.Member{}, false
}
