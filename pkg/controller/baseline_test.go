package controller_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/quotasync"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// level is a plain token bucket.
type level struct {
	Tokens float64
	At     time.Time
}

func (b *level) take(now time.Time, rate, burst float64, tokens int) bool {
	b.Tokens = min(burst, b.Tokens+rate*now.Sub(b.At).Seconds())
	b.At = now
	if b.Tokens < float64(tokens) {
		return false
	}
	b.Tokens -= float64(tokens)
	return true
}

// waiting retries f until the wait bound ends.
func waiting(f func() (bool, error)) error {
	for end := time.Now().Add(quotasync.DefaultWaitBound); ; time.Sleep(10 * time.Millisecond) {
		ok, err := f()
		if err != nil {
			return err
		}
		if ok {
			return nil
		}
		if time.Now().After(end) {
			return code.New(code.RateExceeded, "baseline refused")
		}
	}
}

type settleFunc func(used int)

func (f settleFunc) Settle(used int) { f(used) }

// staticShare is the baseline in which every instance has an equal share.
type staticShare struct {
	mu     sync.Mutex
	level  level
	shares float64
}

func (s *staticShare) Take(_ context.Context, c *config.Customer, tokens int) (quotasync.Charge, error) {
	err := waiting(func() (bool, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.level.take(time.Now(), c.RatePerSecond/s.shares, c.Burst/s.shares, tokens), nil
	})
	return settleFunc(func(used int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.level.Tokens += float64(tokens - used) // capped by the next take
	}), err
}

// tablePerRequest is the baseline with one transaction per request.
type tablePerRequest struct{ table *fakeTable }

func (b *tablePerRequest) Take(ctx context.Context, c *config.Customer, tokens int) (quotasync.Charge, error) {
	err := waiting(func() (bool, error) { return b.try(ctx, c, tokens) })
	return settleFunc(func(used int) {
		_ = waiting(func() (bool, error) { return b.try(ctx, c, used-tokens) })
	}), err
}

func (b *tablePerRequest) try(ctx context.Context, c *config.Customer, tokens int) (bool, error) {
	rows, err := b.table.Get(ctx, "bucket")
	if err != nil {
		return false, err
	}
	bucket := level{Tokens: c.Burst, At: time.Now()}
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &bucket); err != nil {
			return false, err
		}
	}
	if !bucket.take(time.Now(), c.RatePerSecond, c.Burst, tokens) {
		return false, nil
	}
	data, _ := json.Marshal(bucket)
	_, err = b.table.Commit(ctx, external.Txn{
		Conditions: []external.Condition{{Key: "bucket", Version: rows[0].Version}},
		Writes:     []external.Write{{Key: "bucket", Value: data}},
	})
	if errors.Is(err, external.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

// phase is one part of the comparison; before changes the cluster.
type phase struct {
	name   string
	before func(c *cluster)
	last   time.Duration
}

var phases = []phase{
	{"steady", func(*cluster) {}, 6 * time.Second},
	{"crash and table outage", func(c *cluster) {
		c.table.set(func(t *fakeTable) { t.down = true })
		c.nodes[7].crash()
	}, 6 * time.Second},
	{"paused holder, table back", func(c *cluster) {
		c.table.set(func(t *fakeTable) { t.down = false })
		c.net.setCut(c.nodes[6].self.PeerAddr, true)
	}, 6 * time.Second},
	{"herd restart", func(c *cluster) {
		c.net.setCut(c.nodes[6].self.PeerAddr, false)
		for _, x := range c.nodes {
			x.crash()
		}
		for _, x := range c.nodes {
			x.start()
		}
	}, 6 * time.Second},
}

// compare sends 75% of the rate to 2 of 8 instances through all phases. renew
// builds the limiters; it is called again when the instances restart.
func compare(t *testing.T, name string, renew func(c *cluster) func(*rand.Rand) taker) (refused []float64, overshoot float64) {
	c := started(t, 8)
	guild := c.putDeployment()
	time.Sleep(3 * time.Second)
	pick := renew(c)
	all := newLedger()
	for _, p := range phases {
		p.before(c)
		if p.name == "herd restart" {
			pick = renew(c)
		}
		asked, lost := all.asked, all.refused
		load(all, guild, 0.75, p.last, pick)
		share := float64(all.refused-lost) / float64(all.asked-asked)
		refused = append(refused, share)
		t.Logf("%-18s %-26s %4d asked, %5.1f%% refused", name, p.name, all.asked-asked, 100*share)
	}
	t.Logf("%-18s overshoot %.0f tokens", name, all.overshoot())
	return refused, all.overshoot()
}

// Guards against a quota that is no better than equal static shares or one
// table transaction per request, in refusals within the rate and in overshoot.
func TestQuotaAgainstBaselines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, over := compare(t, "share holders", func(c *cluster) func(*rand.Rand) taker { return serving(c.nodes[:2]) })
		if over > 0 {
			t.Errorf("overshoot of %.0f tokens", over)
		}
		if ours[0] > 0 {
			t.Errorf("%.1f%% refused in steady state", 100*ours[0])
		}
		if ours[1] >= 0.01 {
			t.Errorf("%.1f%% refused with a crash and a table outage", 100*ours[1])
		}
		static, _ := compare(t, "static shares", func(c *cluster) func(*rand.Rand) taker {
			a, b := newStaticShare(), newStaticShare()
			return func(rng *rand.Rand) taker { return []taker{a, b}[rng.IntN(2)] }
		})
		table, _ := compare(t, "table per request", func(c *cluster) func(*rand.Rand) taker {
			return func(*rand.Rand) taker { return &tablePerRequest{c.table} }
		})
		if ours[0] >= static[0] || ours[1] >= table[1] {
			t.Errorf("refused %v, static shares %v, table %v", ours, static, table)
		}
	})
}

func newStaticShare() *staticShare {
	return &staticShare{shares: 8, level: level{Tokens: guildBurst / 8, At: time.Now()}}
}
