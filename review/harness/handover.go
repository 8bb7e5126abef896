//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

// leaseTime is the bound lease_ms.
const leaseTime = 3 * time.Second

// leaseRow is what the harness reads of the row under which a holder acts.
type leaseRow struct {
	Holder   string `json:"holder"`
	Token    uint64 `json:"token"`
	Released bool   `json:"released"`
}

func (w *world) lease() leaseRow {
	var row leaseRow
	if raw, ok := w.store.Get("fescuestep", "lease/control"); ok {
		_ = json.Unmarshal(raw, &row)
	}
	return row
}

// handover plays: an instance is stopped and started again while another one brings the
// servers to new weights. When that one hands its lease back, the store applies the write
// and its answer is lost. A tenth of a second later the operator names the next version.
func handover(w *world) (broken bool, err error) {
	engines, err := w.addEngines(4, 760*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := w.putConfig(baseConfig()); err != nil {
		return false, err
	}
	if err := w.startInstances("a-1", "a-2", "b-1", "b-2", "c-1", "c-2"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	// Planned work: an instance is stopped and started again, while another one brings the
	// servers to new weights.
	stopped := w.instances[len(w.instances)-1]
	stopped.signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	w.nameVersion(engines, 2)
	if err := stopped.awaitEnd(9 * time.Second); err != nil {
		return false, err
	}
	if err := stopped.run(); err != nil {
		return false, err
	}
	if err := stopped.awaitReady(); err != nil {
		return false, err
	}
	if err := w.awaitVersion(engines, 2, 20*time.Second); err != nil {
		return false, err
	}
	holder := w.holder()
	if holder == nil || holder == stopped {
		return false, fmt.Errorf("no other instance holds the lease")
	}
	w.note("%s holds the lease", holder.name)

	// The answer to the write with which it hands the lease back is lost.
	if w.trouble {
		w.store.loseAnswer(func(tx transaction) bool {
			for _, row := range tx.Upserts {
				if row.Key == "lease/control" && strings.Contains(string(row.Value), `"released":true`) {
					return true
				}
			}
			return false
		})
	}
	if !eventually(20*time.Second, func() bool { return w.lease().Released }) {
		return false, fmt.Errorf("the lease is not handed back")
	}
	time.Sleep(100 * time.Millisecond)
	w.nameVersion(engines, 3)
	if err := w.awaitVersion(engines, 3, 25*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	return w.judgeOrders(engines), nil
}

// holder returns the instance that holds the lease, or nil.
func (w *world) holder() *instance {
	row := w.lease()
	for _, i := range w.instances {
		if strings.HasPrefix(row.Holder, i.name+"-") && !row.Released {
			return i
		}
	}
	return nil
}

// judgeOrders reports whether the orders to a server break ONE: two holders with one epoch
// number, a lower epoch number after a higher one (these servers don't check it), or holders
// that act in turn within lease_ms.
func (w *world) judgeOrders(engines []*engine) (broken bool) {
	for _, e := range engines {
		e.mu.Lock()
		orders := e.orders
		e.mu.Unlock()
		highest := order{}
		for n, o := range orders {
			switch {
			case o.epoch < highest.epoch:
				broken = true
				w.note("BROKEN ONE: %s got an order of %s with epoch %d, %d ms after one of %s with epoch %d", e.id, o.holder, o.epoch, o.at.Sub(highest.at).Milliseconds(), highest.holder, highest.epoch)
			case o.epoch == highest.epoch && o.holder != highest.holder:
				broken = true
				w.note("BROKEN ONE: %s got orders of %s and %s with epoch %d", e.id, o.holder, highest.holder, o.epoch)
			}
			if n >= 2 && orders[n-1].holder != o.holder && orders[n-2].holder == o.holder && o.at.Sub(orders[n-2].at) < leaseTime {
				broken = true
				w.note("BROKEN ONE: %s got orders of %s, %s and %s within %d ms", e.id, orders[n-2].holder, orders[n-1].holder, o.holder, o.at.Sub(orders[n-2].at).Milliseconds())
			}
			if o.epoch >= highest.epoch {
				highest = o
			}
		}
	}
	return broken
}
