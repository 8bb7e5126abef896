package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Call is one request as its caller sends it.
type Call struct {
	Arrival *Arrival
	Text    string // prompt
}

// Sender sends one request to instance i and returns its timings. It returns
// when the answer is complete or the arrival's timeout has passed.
type Sender interface {
	Send(ctx context.Context, instance int, c *Call) Timings
}

// Counters are what a System counts besides the answers.
type Counters struct {
	PrefilledTokens int
	DuplicateOrders int
}

// System is one policy's router instances and upstreams.
type System interface {
	Sender
	Inject(ctx context.Context, f Fault)
	Counters() Counters
	Close()
}

// Starter starts the system of one policy.
type Starter func(ctx context.Context, o Options, policy string, arrivals []Arrival) (System, error)

// maxOpen bounds the requests under way of one policy. Above it, arrivals are
// counted as unanswered instead of waiting: the loop stays open.
const maxOpen = 4096

// progressInterval is the time between two progress lines.
const progressInterval = 5 * time.Second

// lane is one policy of a live run.
type lane struct {
	system   System
	recorder *Recorder
	waste    *wasteMeter
	rates    *rateCheck
	open     atomic.Int64
	done     atomic.Int64
}

// RunLive measures all policies on the same arrivals at the same time, each
// against its own system.
func RunLive(ctx context.Context, o Options, start Starter) (*Report, error) {
	arrivals := Arrivals(o.Profile, o.Seed, o.Duration, o.Overload)
	lanes, err := startLanes(ctx, o, start, arrivals)
	defer closeLanes(lanes)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	stop := progress(o, lanes, began, len(arrivals))
	defer stop()
	for _, f := range o.Faults {
		for _, l := range lanes {
			timer := time.AfterFunc(f.At, func() { l.system.Inject(ctx, f) })
			defer timer.Stop()
		}
	}
	if err := offer(ctx, lanes, arrivals, began); err != nil {
		return nil, err
	}
	return liveReport(o, lanes, arrivals), nil
}

func startLanes(ctx context.Context, o Options, start Starter, arrivals []Arrival) ([]*lane, error) {
	lanes := make([]*lane, len(o.Policies))
	var group errgroup.Group
	for i, policy := range o.Policies {
		group.Go(func() error {
			system, err := start(ctx, o, policy, arrivals)
			if err != nil {
				return errors.Wrapf(err, "start the system of %s", policy)
			}
			lanes[i] = &lane{
				system:   system,
				recorder: NewRecorder(o.Profile, policy),
				waste:    newWasteMeter(),
				rates:    newRateCheck(buckets(o.Profile, arrivals, o.Duration)),
			}
			return nil
		})
	}
	err := group.Wait()
	return lanes, err
}

func closeLanes(lanes []*lane) {
	var group sync.WaitGroup
	for _, l := range lanes {
		if l != nil {
			group.Go(l.system.Close)
		}
	}
	group.Wait()
}

// offer sends every arrival at its time to all systems.
func offer(ctx context.Context, lanes []*lane, arrivals []Arrival, began time.Time) error {
	var group sync.WaitGroup
	defer group.Wait()
	for i := range arrivals {
		a := &arrivals[i]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(a.At))):
		}
		c := &Call{Arrival: a, Text: a.text(i)}
		for _, l := range lanes {
			group.Go(func() { l.one(ctx, c, began) })
		}
	}
	return nil
}

func (l *lane) one(ctx context.Context, c *Call, began time.Time) {
	defer l.done.Add(1)
	if l.open.Add(1) > maxOpen {
		l.open.Add(-1)
		l.recorder.Record(c.Arrival, Timings{Unanswered: true})
		return
	}
	defer l.open.Add(-1)
	t := l.system.Send(ctx, c.Arrival.Instance, c)
	l.recorder.Record(c.Arrival, t)
	if t.TTFT > 0 {
		l.waste.prefilled(time.Since(began), c.Arrival, t.CachedTokens)
		l.rates.used(c.Arrival.Customer, c.Arrival.At, c.Arrival.At+t.TTFT, t.PromptTokens+t.OutputTokens)
	}
}

func liveReport(o Options, lanes []*lane, arrivals []Arrival) *Report {
	report := newReport(o, HitRateBound(arrivals))
	report.Mode = "live"
	for _, l := range lanes {
		result := l.recorder.Result()
		counters := l.system.Counters()
		result.WastedTokens = l.waste.tokens()
		result.PrefilledTokens = counters.PrefilledTokens
		result.DuplicateOrders = counters.DuplicateOrders
		result.OvershootTokens = l.rates.overshoot()
		report.add(&measured{result: result, windows: l.recorder.windows})
	}
	return report
}

// progress prints one line per interval until the returned function is called.
func progress(o Options, lanes []*lane, began time.Time, arrivals int) (stop func()) {
	if o.Progress == nil {
		return func() {}
	}
	quit := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
			}
			line := fmt.Sprintf("load: %3.0f s of %s, %d arrivals:", time.Since(began).Seconds(), o.Duration, arrivals)
			for _, l := range lanes {
				r := l.recorder.Result()
				line += fmt.Sprintf(" %s %d done hit %.2f p99 %.0f ms;", r.Name, l.done.Load(), r.PrefixHitRate, r.TTFTP99)
			}
			_, _ = fmt.Fprintln(o.Progress, line)
		}
	})
	return func() {
		close(quit)
		group.Wait()
	}
}
