package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

func benchKey(i int) *Key {
	return &Key{
		ID:       fmt.Sprintf("key-%016x", i),
		Digest:   DigestOf(fmt.Sprint(i)),
		Customer: fmt.Sprintf("customer-%04d", i%1600),
		Team:     "counter",
		Created:  time.Unix(1_800_000_000, 0),
	}
}

func benchDeployment(customers int) *Deployment {
	d := &Deployment{Name: "d", Region: "armor", Domains: []string{"a", "b", "c"}, Priority: TailLatency}
	for i := range customers {
		d.Customers = append(d.Customers, Customer{
			ID: fmt.Sprintf("customer-%04d", i), Name: "A customer", Teams: []string{"counter", "desk"},
			RatePerSecond: 60000, Burst: 600000, Weight: 1, CacheScope: fmt.Sprintf("d/customer-%04d", i),
			Class: "counter", WhenUnconfirmed: Refuse, Applications: []string{"greetings", "orders"},
		})
	}
	return d
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState measures the memory of customers and keys in a snapshot and
// their size as JSON, in which they are loaded and passed to other instances.
func BenchmarkState(b *testing.B) {
	const n = 20_000
	for _, c := range []struct {
		name string
		make func() (*Snapshot, any)
	}{
		{"key", func() (*Snapshot, any) {
			keys := make([]*Key, n)
			for i := range keys {
				keys[i] = benchKey(i)
			}
			return Restore(1, nil, keys, Membership{}), keys
		}},
		{"customer", func() (*Snapshot, any) {
			d := benchDeployment(n)
			return Restore(1, []*Deployment{d}, nil, Membership{}), d.Customers
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			before := heap()
			snapshot, parts := c.make()
			after := heap()
			data, err := json.Marshal(parts)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				runtime.KeepAlive(snapshot)
			}
			runtime.KeepAlive(parts)
			b.ReportMetric(float64(after-before)/n, "heap-B/entry")
			b.ReportMetric(float64(len(data))/n, "json-B/entry")
		})
	}
}

// BenchmarkApplyKey measures one key change in a snapshot with many keys.
func BenchmarkApplyKey(b *testing.B) {
	const n = 10_000
	keys := make([]*Key, n)
	for i := range keys {
		keys[i] = benchKey(i)
	}
	s := Restore(1, nil, keys, Membership{})
	change := Change{Revision: 2, Key: benchKey(n)}
	data, err := json.Marshal(change)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := s.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "json-B/change")
}
