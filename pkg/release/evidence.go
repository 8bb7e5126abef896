package release

import (
	"math"
	"time"
)

// Sample is what an attempt showed of the version it was sent to.
type Sample struct {
	Group   string // route, and whether the upstream had to compute the prompt
	New     bool   // it was sent to the new version
	Bad     bool   // failed, or spoiled
	Latency time.Duration
}

// buckets is the number of buckets of a Histogram: half octaves from 1 ms to 65 s.
const buckets = 32

// Histogram counts latencies by half octaves. Histograms of instances can be added.
type Histogram [buckets]uint64

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), buckets-1)
}

// median returns the bucket that holds the median, -1 if there is none.
func (h *Histogram) median() int {
	half := (h.from(0) + 1) / 2
	for i, n := range h {
		if n >= half && half > 0 {
			return i
		}
		half -= min(n, half)
	}
	return -1
}

// from returns the number of latencies in a bucket or a later one.
func (h *Histogram) from(bucket int) uint64 {
	total := uint64(0)
	for _, n := range h[min(max(bucket, 0), buckets):] {
		total += n
	}
	return total
}

// Counts are totals of the answers of a version to requests of a group.
type Counts struct {
	Answers uint64
	Bad     uint64
	Latency Histogram // of the answers that are not bad
}

func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Bad += other.Bad
	for i, n := range other.Latency {
		c.Latency[i] += n
	}
}

// since returns the counts beyond earlier ones. Totals that fell count from zero.
func (c Counts) since(earlier Counts) Counts {
	out := Counts{Answers: rise(c.Answers, earlier.Answers), Bad: rise(c.Bad, earlier.Bad)}
	for i, n := range c.Latency {
		out.Latency[i] = rise(n, earlier.Latency[i])
	}
	return out
}

func rise(now, before uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}

// Pair holds the counts of both versions for a group.
type Pair struct{ Old, New Counts }

func (p *Pair) of(isNew bool) *Counts {
	if isNew {
		return &p.New
	}
	return &p.Old
}

// Totals are the counts by group.
type Totals map[string]Pair

func (t Totals) add(group string, delta Pair) {
	pair := t[group]
	pair.Old.add(delta.Old)
	pair.New.add(delta.New)
	t[group] = pair
}

// maxGroups bounds the groups that are kept. Configurations have a few routes per service.
const maxGroups = 64

// evidence adds up the counts of this instance and the totals that others state. What an
// instance stated stays counted when it restarts or is no longer heard.
type evidence struct {
	own     Totals
	all     Totals
	senders map[string]stated
}

// stated is what an instance stated last.
type stated struct {
	incarnation uint64
	totals      Totals
}

func newEvidence() evidence {
	return evidence{own: Totals{}, all: Totals{}, senders: map[string]stated{}}
}

func (e *evidence) record(s Sample) {
	if _, known := e.own[s.Group]; !known && len(e.own) >= maxGroups {
		return
	}
	var delta Pair
	c := delta.of(s.New)
	c.Answers = 1
	if s.Bad {
		c.Bad = 1
	} else {
		c.Latency[bucketOf(s.Latency)] = 1
	}
	e.own.add(s.Group, delta)
	e.all.add(s.Group, delta)
}

// merge takes over the totals that the process of another instance has counted since its
// start. Groups that are not stated keep their last totals.
func (e *evidence) merge(sender string, incarnation uint64, totals Totals) {
	last, ok := e.senders[sender]
	if !ok || last.incarnation != incarnation {
		last = stated{incarnation, Totals{}}
	}
	for group, pair := range totals {
		if _, known := e.all[group]; !known && len(e.all) >= maxGroups {
			continue
		}
		before := last.totals[group]
		e.all.add(group, Pair{Old: pair.Old.since(before.Old), New: pair.New.since(before.New)})
		last.totals[group] = pair
	}
	e.senders[sender] = last
}
