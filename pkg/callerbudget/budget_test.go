package callerbudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// receive opens a connection that has received n bytes of a request and holds them.
func receive(t *testing.T, b *Budget, now time.Time, address, customer string, n int64) *Holder {
	t.Helper()
	h, _ := b.Open(now, "callers", address)
	if h == nil {
		t.Fatal("refused")
	}
	b.Identify(h, customer)
	if _, ok := b.Charge(now, h, n); !ok {
		t.Fatal("not charged")
	}
	b.Progress(now, h, int(n))
	return h
}

// TestWhoGivesWay guards against closing a caller that advances, that has a key or that holds little before one that does not, and against closing requests that run.
func TestWhoGivesWay(t *testing.T) {
	b := New(Limits{Bytes: 1 << 20, Connections: 100})
	runs := receive(t, b, at(0), "a", "", 100<<10)
	b.Enter(at(0), runs, Running)
	keyedIdle := receive(t, b, at(0), "b", "customer", 10<<10)
	b.Enter(at(9*time.Second), keyedIdle, Idle)
	idleOne := receive(t, b, at(0), "c", "", 10<<10)
	b.Enter(at(9*time.Second), idleOne, Idle)
	stalledKeyed := receive(t, b, at(0), "d", "slow", 100<<10)
	stalledOne := receive(t, b, at(0), "e", "", 100<<10)
	moves := receive(t, b, at(0), "f", "", 200<<10)
	b.Progress(at(9900*time.Millisecond), moves, 1<<20)
	want := []*Holder{stalledOne, stalledKeyed, idleOne, moves}
	newcomer := receive(t, b, at(10*time.Second), "g", "", 1<<10)
	var got []*Holder
	for len(got) < len(want) {
		held, _ := b.Held()
		evicted := b.evict(at(10*time.Second), newcomer, newcomer.held, shortage{bytes: 1})
		if len(evicted) == 0 {
			t.Fatalf("nothing gives way at %d bytes", held)
		}
		got = append(got, evicted...)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if evicted := b.evict(at(10*time.Second), newcomer, newcomer.held, shortage{bytes: 1}); evicted != nil {
		t.Errorf("a newcomer without a key closes a customer's connection or a running request: %+v", evicted[0])
	}
}

// TestOwnerOfMuchGivesWayFirst guards against closing one of many callers that hold little before an address that holds much.
func TestOwnerOfMuchGivesWayFirst(t *testing.T) {
	b := New(Limits{Bytes: 1 << 30, Connections: 5})
	small := receive(t, b, at(0), "one", "", 1<<10)
	for range 4 {
		receive(t, b, at(0), "many", "", 1<<10)
	}
	if _, evicted := b.Open(at(0), "callers", "other"); len(evicted) != 1 || evicted[0] == small {
		t.Errorf("evicted %+v", evicted)
	}
}

// TestReservedConnections guards against a crowd at one listener that keeps others from being reached, and a connection count that is passed for it without bound.
func TestReservedConnections(t *testing.T) {
	b := New(Limits{Bytes: 1 << 30, Connections: 10, Reserved: 2})
	for range 10 {
		h, _ := b.Open(at(0), "callers", "crowd")
		b.Enter(at(0), h, Running)
	}
	if h, _ := b.Open(at(0), "callers", "other"); h != nil {
		t.Error("a connection beyond the limit")
	}
	for i := range 3 {
		if h, _ := b.Open(at(0), "ready", "platform"); (h != nil) != (i < 2) {
			t.Errorf("connection %d of the other listener: %v", i, h != nil)
		} else if h != nil {
			b.Enter(at(0), h, Running)
		}
	}
}

// TestSumsStayRight guards against sums that drift, exceed their limits or keep what closed connections held.
func TestSumsStayRight(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	limits := Limits{Bytes: 2 << 20, Connections: 40, Reserved: 1}
	b := New(limits)
	var all []*Holder
	for step := range 20_000 {
		now := at(time.Duration(step) * 50 * time.Millisecond)
		if len(all) == 0 || rng.IntN(4) == 0 {
			if h, _ := b.Open(now, []string{"k", "l"}[rng.IntN(2)], fmt.Sprint(rng.IntN(5))); h != nil {
				all = append(all, h)
			}
			continue
		}
		i := rng.IntN(len(all))
		h := all[i]
		switch rng.IntN(6) {
		case 0:
			b.Close(h)
			all[i] = all[len(all)-1]
			all = all[:len(all)-1]
		case 1:
			b.Charge(now, h, rng.Int64N(200<<10))
		case 2:
			b.Release(h, rng.Int64N(100<<10))
		case 3:
			b.Enter(now, h, Phase(rng.IntN(5)))
		case 4:
			b.Identify(h, []string{"", "x", "y"}[rng.IntN(3)])
		default:
			b.Progress(now, h, rng.IntN(50<<10))
		}
		sum := int64(0)
		for h := range b.holders {
			sum += h.held
		}
		if bytes, open := b.Held(); bytes != sum || bytes > limits.Bytes || open-b.leaving != len(b.holders) || len(b.holders) > limits.Connections+2*limits.Reserved {
			t.Fatalf("step %d: %d bytes, sum %d, %d connections, %d leave, %d held", step, bytes, sum, open, b.leaving, len(b.holders))
		}
	}
	for _, h := range all {
		b.Close(h)
	}
	if bytes, open := b.Held(); bytes != 0 || open != 0 || len(b.byOwner) != 0 || len(b.byListener) != 0 || b.leaving != 0 {
		t.Errorf("left: %d bytes, %d connections, %v, %v", bytes, open, b.byOwner, b.byListener)
	}
}
