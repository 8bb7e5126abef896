package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

func newBenchHolder(customers int) (*Holder, time.Duration) {
	d := &config.Deployment{Name: "d"}
	for i := range customers {
		d.Customers = append(d.Customers, config.Customer{ID: fmt.Sprintf("customer-%04d", i), RatePerSecond: 1e9, Burst: 1e12})
	}
	members := config.Membership{Members: []config.Member{{ID: "a", Incarnation: "1"}}}
	h := NewHolder("a", "1", LeaseDuration)
	h.OnSnapshot(0, config.Restore(1, []*config.Deployment{d}, nil, members), false)
	h.OnAccepted(0, 1)
	now := 10 * LeaseDuration
	h.OnAccepted(now, 1)
	return h, now + time.Second
}

// BenchmarkAdmission measures charging one request against the instance's own share
// and refunding the unused tokens.
func BenchmarkAdmission(b *testing.B) {
	h, now := newBenchHolder(1600)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		if h.Charge(now, "customer-0800", 1000) != 1000 {
			b.Fatal("not admitted")
		}
		h.Refund(now, "customer-0800", 500, now)
	}
}

// BenchmarkAccount measures the heap memory of one customer's account.
func BenchmarkAccount(b *testing.B) {
	const n = 20_000
	before := heapInUse()
	h, now := newBenchHolder(n)
	after := heapInUse()
	for b.Loop() {
		h.Level(now, "customer-0001")
	}
	runtime.KeepAlive(h)
	b.ReportMetric(float64(after-before)/n, "heap-B/account")
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
