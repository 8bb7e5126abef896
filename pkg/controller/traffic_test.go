package controller_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var measure = flag.Bool("measure", false, "run large fleets and print benchmark lines for docs/capacity")

// tableReadsPerSecond bounds the reads of a quiet fleet: two relays in each of
// the four failure domains read the head at most every 218.75 ms, the shortest
// jittered period of 250 ms.
const tableReadsPerSecond = 2 * 4 * 1000 / 218.75

// maxReceivedPerSecond bounds the calls that one instance of a quiet fleet
// answers: those of the 25 instances of a relay, with room for an uneven split.
const maxReceivedPerSecond = 3 * 25 * 2

// Guards against table reads or calls between instances that grow with the
// fleet faster than the design allows: reads depend on the number of relays
// only, a quiet instance polls one relay every 500 ms, and no relay serves a
// whole large failure domain.
func TestControlTraffic(t *testing.T) {
	sizes := []int{3, 9}
	if *measure {
		sizes = []int{3, 9, 27, 81, 243}
	}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			c := started(t, n)
			c.until("all revisions accepted", 20*time.Second, func() bool { return c.allKnow(n) })
			quiet := c.count(func() { time.Sleep(measureTime) })
			seconds := measureTime.Seconds()
			if reads := float64(quiet.reads) / seconds; n <= 100 && reads > tableReadsPerSecond {
				t.Errorf("%d instances: %.1f table reads per second, at most %.1f allowed", n, reads, tableReadsPerSecond)
			}
			if most := float64(quiet.most) / seconds; most > maxReceivedPerSecond {
				t.Errorf("%d instances: one answers %.1f calls per second, at most %d allowed", n, most, maxReceivedPerSecond)
			}
			change := c.count(func() {
				revision := c.nodes[0].putKey("counter", false)
				c.until("accepted", 10*time.Second, func() bool { return c.nodes[0].accepted(revision) })
			})
			fmt.Printf("BenchmarkControlTraffic/instances=%d 1 %.3f calls/s/instance %.1f received/s/busiest %.2f tablereads/s %.2f calls/change/instance %.1f ms/change\n",
				n, float64(quiet.calls)/seconds/float64(n), float64(quiet.most)/seconds, float64(quiet.reads)/seconds,
				float64(change.calls)/float64(n), float64(change.took.Microseconds())/1000)
		})
	}
}

const measureTime = 20 * time.Second

// traffic is what a fleet did during some time.
type traffic struct {
	calls int // between instances, one per request
	reads int // of the table
	most  int // calls that one instance answered
	took  time.Duration
}

func (c *cluster) count(f func()) traffic {
	calls, reads, start := c.totals()
	c.net.mu.Lock()
	clear(c.net.received)
	c.net.mu.Unlock()
	f()
	moreCalls, moreReads, end := c.totals()
	out := traffic{calls: (moreCalls - calls) / 2, reads: moreReads - reads, took: end.Sub(start)}
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for _, n := range c.net.received {
		out.most = max(out.most, n)
	}
	return out
}

func (c *cluster) totals() (calls, reads int, now time.Time) {
	c.net.mu.Lock()
	calls = c.net.calls
	c.net.mu.Unlock()
	c.table.set(func(t *fakeTable) { reads = t.reads })
	return calls, reads, time.Now()
}
