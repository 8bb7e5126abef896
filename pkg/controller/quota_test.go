package controller_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/quotasync"
)

// Rate and burst of the customer in these tests, tokens.
const (
	guildRate  = 200_000
	guildBurst = 100_000
)

func (c *cluster) putDeployment() *config.Customer {
	c.t.Helper()
	guild := config.Customer{ID: "guild", RatePerSecond: guildRate, Burst: guildBurst}
	d := &config.Deployment{Name: "ucab", Customers: []config.Customer{guild}}
	_, err := c.nodes[0].sync.Propose(context.Background(), func(*config.Snapshot) (config.Change, error) {
		return config.Change{Deployment: d}, nil
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.until("the customer is known", 4*time.Second, func() bool {
		for _, x := range c.nodes {
			if x.sync.Snapshot().Customer("guild") == nil {
				return false
			}
		}
		return true
	})
	return &d.Customers[0]
}

// ledger records what was admitted and checks it against rate and burst.
type ledger struct {
	mu      sync.Mutex
	entries []*admission
	asked   int
	refused int
	byCode  map[code.Code]int
}

type admission struct {
	at     time.Time
	tokens int
}

// overshoot returns the largest excess over rate*time+burst of any interval
// between two admissions. It keeps the level of a bucket of the whole quota
// that would be needed.
func (l *ledger) overshoot() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	level, worst := float64(guildBurst), 0.0
	var last time.Time
	for _, e := range l.entries {
		if !last.IsZero() {
			level = min(guildBurst, level+guildRate*e.at.Sub(last).Seconds())
		}
		last = e.at
		level -= float64(e.tokens)
		worst = max(worst, -level)
	}
	return worst
}

// taker is a limiter or a baseline.
type taker interface {
	Take(ctx context.Context, customer *config.Customer, tokens int) (quotasync.Charge, error)
}

// serving returns a function that picks one of the instances, nil while it is
// down.
func serving(nodes []*node) func(*rand.Rand) taker {
	return func(rng *rand.Rand) taker {
		if l := nodes[rng.IntN(len(nodes))].serving.Load(); l != nil {
			return l
		}
		return nil
	}
}

// request charges tokens at one instance and settles after a while.
func (l *ledger) request(limiter taker, guild *config.Customer, tokens, used int, hold time.Duration) {
	charge, err := limiter.Take(context.Background(), guild, tokens)
	l.mu.Lock()
	l.asked++
	if err != nil {
		l.refused++
		var e *code.Error
		if errors.As(err, &e) {
			l.byCode[e.Code]++
		}
		l.mu.Unlock()
		return
	}
	a := &admission{time.Now(), tokens}
	l.entries = append(l.entries, a)
	l.mu.Unlock()
	time.Sleep(hold)
	l.mu.Lock()
	a.tokens = used
	l.mu.Unlock()
	charge.Settle(used)
}

// load sends requests at a multiple of the customer's rate, counted in used
// tokens, to a few of the instances.
func load(l *ledger, guild *config.Customer, factor float64, d time.Duration, pick func(*rand.Rand) taker) {
	rng := rand.New(rand.NewPCG(7, 7))
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		used := 500 + rng.IntN(3000)
		tokens := used + rng.IntN(500)
		hold := time.Duration(rng.IntN(1500)) * time.Millisecond
		if limiter := pick(rng); limiter != nil {
			wg.Go(func() { l.request(limiter, guild, tokens, used, hold) })
		}
		gap := rng.ExpFloat64() * 2000 / (guildRate * factor)
		time.Sleep(time.Duration(gap * float64(time.Second)))
	}
	wg.Wait()
}

func newLedger() *ledger { return &ledger{byCode: map[code.Code]int{}} }

// Guards against refusals of traffic within the rate when it arrives at few
// instances, and against overshoot.
func TestQuotaSteadyState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 8)
		guild := c.putDeployment()
		time.Sleep(3 * time.Second)
		l := newLedger()
		load(l, guild, 0.9, 10*time.Second, serving(c.nodes[:2]))
		t.Logf("asked %d, refused %d %v, overshoot %.0f", l.asked, l.refused, l.byCode, l.overshoot())
		if l.overshoot() > 0 {
			t.Errorf("overshoot of %.0f tokens", l.overshoot())
		}
		if l.refused > 0 {
			t.Errorf("%d of %d requests within the rate refused: %v", l.refused, l.asked, l.byCode)
		}
	})
}

// Guards against a customer that gets more than its quota by sending five times
// its rate everywhere.
func TestQuotaOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 6)
		guild := c.putDeployment()
		time.Sleep(3 * time.Second)
		l := newLedger()
		load(l, guild, 5, 3*time.Second, serving(c.nodes))
		got := 0
		for _, e := range l.entries {
			got += e.tokens
		}
		t.Logf("asked %d, refused %d %v, used %d tokens, overshoot %.0f", l.asked, l.refused, l.byCode, got, l.overshoot())
		if l.overshoot() > 0 {
			t.Errorf("overshoot of %.0f tokens", l.overshoot())
		}
		if l.refused == 0 || l.byCode[code.RateExceeded] == 0 {
			t.Errorf("refusals %v, want RateExceeded", l.byCode)
		}
	})
}

// Guards against overshoot and needless refusals while the table is down and an
// instance has crashed, is cut off or restarts.
func TestQuotaUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := started(t, 8)
		guild := c.putDeployment()
		time.Sleep(3 * time.Second)
		c.table.set(func(t *fakeTable) { t.down = true })
		c.nodes[5].crash()
		c.net.mu.Lock()
		c.net.lose, c.net.twice = 0.002, 0.01
		c.net.mu.Unlock()
		l := newLedger()
		load(l, guild, 0.75, 10*time.Second, serving(c.nodes[:3]))
		t.Logf("crash and table outage: asked %d, refused %d %v, overshoot %.0f", l.asked, l.refused, l.byCode, l.overshoot())
		if share := float64(l.refused) / float64(l.asked); share >= 0.01 {
			t.Errorf("%.1f%% of requests within the rate refused: %v", 100*share, l.byCode)
		}
		c.table.set(func(t *fakeTable) { t.down = false })
		go func() {
			c.nodes[5].start()
			time.Sleep(2 * time.Second)
			c.net.setCut(c.nodes[6].self.PeerAddr, true)
			time.Sleep(4 * time.Second)
			c.net.setCut(c.nodes[6].self.PeerAddr, false)
		}()
		load(l, guild, 2, 8*time.Second, serving(c.nodes))
		t.Logf("restart and cut: asked %d, refused %d %v, overshoot %.0f", l.asked, l.refused, l.byCode, l.overshoot())
		if l.overshoot() > 0 {
			t.Errorf("overshoot of %.0f tokens", l.overshoot())
		}
	})
}
