package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fescuestep/fescuestep/pkg/external"
)

// op is one conditional write of one row.
type op struct {
	cond   external.Condition
	write  external.Write
	result chan result // with room for one
}

type result struct {
	version uint64
	err     error
}

// commitBurst lets the record of a single order follow its claim at once.
const commitBurst = 10

// fewInstances is the size of today's fleets.
const fewInstances = 9

// batcher commits the writes of concurrent orders in shared transactions.
type batcher struct {
	table   external.Table
	options Options
	limiter *rate.Limiter
	ops     chan op
	slots   chan struct{} // transactions in flight
	token   func() string
}

func newBatcher(table external.Table, o Options, token func() string) *batcher {
	b := &batcher{
		table:   table,
		options: o,
		limiter: rate.NewLimiter(0, commitBurst),
		ops:     make(chan op, o.MaxPending),
		slots:   make(chan struct{}, o.MaxInFlight),
		token:   token,
	}
	b.setInstances(fewInstances)
	return b
}

// setInstances sets this instance's share of the table's writes. With more
// instances than writes per second an order may wait for the next transaction.
func (b *batcher) setInstances(n int) {
	b.limiter.SetLimit(rate.Limit(b.options.CommitsPerSecond / float64(max(1, n))))
}

// spacing is the time between two transactions once the burst is used up.
func (b *batcher) spacing() time.Duration {
	return time.Duration(float64(time.Second) / float64(b.limiter.Limit()))
}

// commit waits for the result of one write. When ctx ends first, the write may
// still take effect.
func (b *batcher) commit(ctx context.Context, cond external.Condition, write external.Write) (uint64, error) {
	o := op{cond: cond, write: write, result: make(chan result, 1)}
	select {
	case b.ops <- o:
	default:
		return 0, errors.Wrap(external.ErrUnavailable, "too many pending writes of orders")
	}
	select {
	case r := <-o.result:
		return r.version, r.err
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), external.ErrOutcomeUnknown)
	}
}

// run gathers writes until ctx ends and waits for running transactions.
func (b *batcher) run(ctx context.Context) {
	var held []op
	for {
		batch, rest := b.gather(ctx, held)
		held = rest
		if len(batch) == 0 {
			break
		}
		b.slots <- struct{}{}
		go func() {
			defer func() { <-b.slots }()
			b.write(batch)
		}()
	}
	for range cap(b.slots) {
		b.slots <- struct{}{}
	}
	b.refuseQueued()
}

func (b *batcher) refuseQueued() {
	for {
		select {
		case o := <-b.ops:
			o.result <- result{err: errors.Wrap(external.ErrUnavailable, "shutting down")}
		default:
			return
		}
	}
}

// gather returns the next batch: it starts with the first write and ends after
// the interval, when the commit rate allows another transaction, or when the
// batch is full. Writes of a row that is already in the batch are left for the
// next one. An empty batch means that ctx ended.
func (b *batcher) gather(ctx context.Context, held []op) (batch, rest []op) {
	rows := map[string]bool{}
	add := func(o op) {
		if rows[o.cond.Key] || len(batch) >= b.options.BatchSize {
			rest = append(rest, o)
			return
		}
		rows[o.cond.Key] = true
		batch = append(batch, o)
	}
	for _, o := range held {
		add(o)
	}
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil, nil
		case o := <-b.ops:
			add(o)
		}
	}
	delay := max(b.options.BatchInterval, b.limiter.Reserve().Delay())
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return batch, rest
		case o := <-b.ops:
			add(o)
		}
	}
}

// write commits a batch. When a condition failed, nothing was written: the
// failed writes are sorted out by reading their rows and the others are tried
// again.
func (b *batcher) write(batch []op) {
	for len(batch) > 0 {
		version, err := b.commitAll(batch)
		if !errors.Is(err, external.ErrConflict) {
			answer(batch, result{version: version, err: err})
			return
		}
		batch = b.withoutConflicts(batch)
	}
}

func (b *batcher) commitAll(batch []op) (uint64, error) {
	txn := external.Txn{Token: b.token()}
	for _, o := range batch {
		txn.Conditions = append(txn.Conditions, o.cond)
		txn.Writes = append(txn.Writes, o.write)
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.options.TableTimeout)
	defer cancel()
	version, err := b.table.Commit(ctx, txn)
	if err == nil || errors.Is(err, external.ErrConflict) || errors.Is(err, external.ErrUnavailable) {
		return version, err
	}
	return 0, errors.Mark(err, external.ErrOutcomeUnknown)
}

func (b *batcher) withoutConflicts(batch []op) []op {
	if len(batch) == 1 {
		answer(batch, result{err: external.ErrConflict})
		return nil
	}
	keys := make([]string, len(batch))
	for i, o := range batch {
		keys[i] = o.cond.Key
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.options.TableTimeout)
	defer cancel()
	rows, err := b.table.Get(ctx, keys...)
	if err != nil || len(rows) != len(batch) {
		// The conflict proves that nothing of this transaction was written.
		answer(batch, result{err: errors.Wrap(external.ErrUnavailable, "rows of a conflict cannot be read")})
		return nil
	}
	var rest []op
	for i, o := range batch {
		if rows[i].Version == o.cond.Version {
			rest = append(rest, o)
			continue
		}
		o.result <- result{err: external.ErrConflict}
	}
	return rest
}

func answer(batch []op, r result) {
	for _, o := range batch {
		o.result <- r
	}
}
