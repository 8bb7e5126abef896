// Package orders runs orders against the table and the object store: it
// carries out the actions of order.Call, batches the writes of concurrent
// orders, finishes interrupted records in the background, lists and resolves
// orders whose outcome is unknown and removes old ones.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/filter/requestid"
	"github.com/fescuestep/fescuestep/pkg/order"
)

// Options of the service.
type Options struct {
	Limits           order.Limits
	BatchInterval    time.Duration // that the first write of a batch waits for others
	BatchSize        int           // writes of one transaction
	CommitsPerSecond float64       // transactions of all instances together
	MaxInFlight      int           // transactions at the same time
	MaxPending       int           // writes waiting for a transaction
	TableTimeout     time.Duration // of one table or object store call
	CleanupDelay     time.Duration // between attempts of background work
	CleanupAttempts  int           // looks at a row whose claim may still take effect
	ResolveMargin    time.Duration // from a claim's expiry until an operator may resolve it
	Retention        time.Duration // of finished orders
	SweepInterval    time.Duration // between removals of old orders
	Owner            string        // instance ID
	Now              func() time.Time
}

// DefaultOptions stay below the several hundred writes per second that the table
// takes and leave a part of them to configuration and membership.
func DefaultOptions(owner string) Options {
	return Options{
		Limits:           order.DefaultLimits(),
		BatchInterval:    3 * time.Millisecond,
		BatchSize:        64,
		CommitsPerSecond: 300,
		MaxInFlight:      4,
		MaxPending:       1024,
		TableTimeout:     time.Second,
		CleanupDelay:     5 * time.Second,
		CleanupAttempts:  3,
		ResolveMargin:    time.Minute,
		Retention:        24 * time.Hour,
		SweepInterval:    10 * time.Minute,
		Owner:            owner,
		Now:              time.Now,
	}
}

// Service runs orders. Close it after the last order.
type Service struct {
	table   external.Table
	objects external.ObjectStore
	options Options
	batch   *batcher
	log     hclog.Logger

	ctx    context.Context // of background work
	cancel context.CancelFunc
	jobs   sync.WaitGroup
	stop   context.CancelFunc // of the batcher
	done   chan struct{}
}

// New starts the service.
func New(table external.Table, objects external.ObjectStore, o Options, log hclog.Logger) *Service {
	s := &Service{
		table:   table,
		objects: objects,
		options: o,
		batch:   newBatcher(table, o, requestid.New),
		log:     log,
		done:    make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		defer close(s.done)
		s.batch.run(ctx)
	}()
	return s
}

// SetInstances shares CommitsPerSecond evenly among n instances. Until the first
// call the instance takes the share of a fleet of fewInstances.
func (s *Service) SetInstances(n int) { s.batch.setInstances(n) }

// Close waits for background work until ctx ends and then stops it. Records
// not written by then stay as claims, which are listed as unresolved.
func (s *Service) Close(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		s.jobs.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
	s.cancel()
	<-settled
	s.stop()
	<-s.done
}

// Do runs one order: it claims it, calls send at most once, records the
// outcome and returns the answer or a *code.Error. An order whose ctx ends before
// it is sent is released, for example because its key was revoked. Once sent, it
// does not depend on ctx; send gets a context with the order's deadline.
func (s *Service) Do(ctx context.Context, q order.Request, send func(context.Context) order.Outcome) (*chain.Response, error) {
	call := order.NewCall(q, requestid.New(), s.options.Owner, s.options.Limits)
	detached := context.WithoutCancel(ctx)
	action := call.Start(s.options.Now())
	for action.Kind != order.ActionFinish {
		switch {
		case action.Kind == order.ActionWait && ctx.Err() != nil && !call.HasSent():
			return nil, s.abandon(call)
		case action.Kind == order.ActionSend && ctx.Err() != nil:
			action = call.Sent(s.options.Now(), order.Outcome{NotSent: true, Err: gone(ctx)})
		default:
			action = s.perform(detached, call, action, send)
		}
	}
	if action.Cleanup != nil {
		s.startCleanup(*action.Cleanup)
	}
	if action.Err != nil {
		return nil, action.Err
	}
	return action.Response, nil
}

// abandon ends a call whose caller left while it waited for another one.
func (s *Service) abandon(call *order.Call) error {
	s.startCleanup(order.Cleanup{RowKey: call.RowKey(), Token: call.Token()})
	return code.New(code.OrderRunning, "the caller left while the order was running").
		WithReference(order.Reference(call.RowKey()))
}

// gone returns why ctx ended as an error for the caller.
func gone(ctx context.Context) *code.Error {
	cause := context.Cause(ctx)
	var e *code.Error
	if errors.As(cause, &e) {
		return e
	}
	return code.New(code.BodyReadTimeout, "the caller left before the order was sent").WithCause(cause)
}

func (s *Service) perform(ctx context.Context, call *order.Call, a order.Action, send func(context.Context) order.Outcome) order.Action {
	switch a.Kind {
	case order.ActionCommit:
		version, err := s.commit(ctx, a.Condition, a.Write)
		return call.Committed(s.options.Now(), version, err)
	case order.ActionRead:
		row, err := s.read(ctx, call.RowKey())
		return call.Loaded(s.options.Now(), row, err)
	case order.ActionWait:
		time.Sleep(a.Delay)
		return call.Waited(s.options.Now())
	case order.ActionSend:
		return call.Sent(s.options.Now(), s.send(ctx, a, send))
	case order.ActionStore:
		return call.Stored(s.options.Now(), s.store(ctx, a.ObjectKey, a.Data))
	default: // order.ActionFetch
		body, err := s.fetch(ctx, a.ObjectKey)
		return call.Fetched(s.options.Now(), body, err)
	}
}

func (s *Service) send(ctx context.Context, a order.Action, send func(context.Context) order.Outcome) order.Outcome {
	now := s.options.Now()
	if o, late := a.DeadlinePassed(now); late {
		return o
	}
	ctx, cancel := context.WithTimeout(ctx, a.Deadline.Sub(now))
	defer cancel()
	return send(ctx)
}

// commit waits at most as long as a transaction can take with its queue.
func (s *Service) commit(ctx context.Context, cond external.Condition, write external.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.TableTimeout+s.batch.spacing())
	defer cancel()
	return s.batch.commit(ctx, cond, write)
}

func (s *Service) read(ctx context.Context, key string) (external.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.TableTimeout)
	defer cancel()
	rows, err := s.table.Get(ctx, key)
	if err != nil || len(rows) != 1 {
		return external.Row{}, firstError(err, external.ErrUnavailable)
	}
	return rows[0], nil
}

func firstError(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

func (s *Service) store(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.TableTimeout)
	defer cancel()
	return s.objects.Put(ctx, key, data)
}

func (s *Service) fetch(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.TableTimeout)
	defer cancel()
	return s.objects.Get(ctx, key)
}

// startCleanup finishes a call's row in the background.
func (s *Service) startCleanup(job order.Cleanup) {
	s.jobs.Add(1)
	go func() {
		defer s.jobs.Done()
		s.cleanup(job)
	}()
}

// cleanup retries until the row is settled. A row that shows nothing to do is
// looked at again, because a commit of the call may still take effect.
func (s *Service) cleanup(job order.Cleanup) {
	for looks := 0; looks < s.options.CleanupAttempts; {
		if !s.pause(s.options.CleanupDelay) {
			s.log.Warn("order left unsettled at shutdown", "reference", order.Reference(job.RowKey))
			return
		}
		row, err := s.read(s.ctx, job.RowKey)
		if err != nil {
			continue
		}
		cond, write, done := job.Next(row)
		if done {
			looks++
			continue
		}
		if _, err := s.commit(s.ctx, cond, write); err == nil {
			return
		}
	}
}

func (s *Service) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
