package release

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The new version is compared with the old one by two sequential tests per group: whether
// more of its answers are bad, and whether more of them are slow. Each test is a cumulative
// sum of the log likelihood ratio between "as the old one" and "worse by a step", over time
// slices, so that a version that turns bad late is found as soon as one that is bad at once.
// The rate of the old version is the upper confidence limit over the last slices: trouble
// that affects both versions raises it.
//
// By Ville's inequality a sum that may begin at any slice exceeds the threshold by chance
// with a probability of at most slices x tests / e^threshold, which is falseRollback. A
// version that is worse by the step is accepted with a probability of at most
// falseAcceptance per test.
const (
	falseRollback   = 1e-3
	falseAcceptance = 1e-3
	// smallGroupAcceptance holds instead for groups with less than a smallGroupShare of the
	// answers, which would take longer than the whole rollout otherwise.
	smallGroupAcceptance = 1e-2
	smallGroupShare      = 0.15

	// sliceTime is the time between two evaluations. Instances state their counts a few
	// times per second.
	sliceTime = 500 * time.Millisecond
	// oldSlices is the number of slices over which the rate of the old version counts.
	oldSlices = 8
	// minBad is the least number of bad answers that roll back. A single upstream that ends
	// or is slow for a moment spoils several answers, so they must be of several slices, too
	// (criterion.minSlices).
	minBad = 5
	// slowBuckets is how many half octaves above the old version's median an answer is
	// slow: between 2 and 4 times, depending on where in its bucket the median is.
	slowBuckets = 3
	// minOld is the number of old answers below which the rate is the prior one.
	minOld = 10
)

// criterion is a kind of test.
type criterion struct {
	name        string
	floor, step float64 // least rate of the old version, and how much higher that of a bad one is
	accept      float64 // the same step for the acceptance, which must not take too many answers of small routes
	minSlices   float64 // a slice adds at most this part of the threshold: trouble of few upstreams is short
	count       func(c Counts, median int) (n, bad uint64)
}

var criteria = [...]criterion{
	{"bad answers", 0.01, 0.05, 0.2, 2, func(c Counts, _ int) (n, bad uint64) { return c.Answers, c.Bad }},
	{"slow answers", 0.1, 0.3, 0.3, 4, func(c Counts, median int) (n, bad uint64) {
		return c.Latency.from(0), c.Latency.from(median + slowBuckets)
	}},
}

// rates returns the rates of the old version, of which counts are given, and of one that is
// worse by a step. The highest rate counts: trouble that has just begun is in the last slices
// only.
func (k criterion) rates(step float64, median int, counts ...Counts) (p0, p1 float64) {
	p0 = 2 * k.floor
	for i, c := range counts {
		if n, bad := k.count(c, median); n >= minOld && i == 0 {
			p0 = max(k.floor, upperLimit(n, bad))
		} else if n >= minOld {
			p0 = max(p0, float64(bad)/float64(n)) // a limit would be too high for so few answers
		}
	}
	p0 = min(p0, 0.9)
	return p0, min(p0+step, (1+p0)/2)
}

// upperLimit returns the upper limit of the Wilson interval for a rate at two standard
// deviations.
func upperLimit(n, bad uint64) float64 {
	const z = 2.0
	total, p := float64(n), float64(bad)/float64(n)
	center := p + z*z/(2*total)
	spread := z * math.Sqrt(p*(1-p)/total+z*z/(4*total*total))
	return min((center+spread)/(1+z*z/total), 1)
}

func logRatio(n, bad uint64, p0, p1 float64) float64 {
	return float64(bad)*math.Log(p1/p0) + float64(n-min(bad, n))*math.Log((1-p1)/(1-p0))
}

// tester applies the tests to totals that grow.
type tester struct {
	threshold float64
	at        time.Time
	last      Totals
	groups    map[string]*groupTest
}

type groupTest struct {
	old  []Counts // of the last slices
	sums [len(criteria)]cusum
}

// cusum is a cumulative sum that begins again at zero when it falls below.
type cusum struct {
	value float64
	bad   uint64 // since it began
}

func newTester(o Order) tester {
	slices := float64(o.Duration/sliceTime) + 1
	const groups = 8
	return tester{
		threshold: math.Log(slices * groups * float64(len(criteria)) / falseRollback),
		last:      Totals{}, groups: map[string]*groupTest{},
	}
}

// step evaluates totals once per slice. It returns the reason for a rollback, or "".
func (t *tester) step(now time.Time, totals Totals) (reason string) {
	if now.Sub(t.at) < sliceTime {
		return ""
	}
	t.at = now
	for group, pair := range totals {
		before := t.last[group]
		test := t.groups[group]
		if test == nil {
			test = &groupTest{}
			t.groups[group] = test
		}
		found := test.step(t.threshold, pair.Old.since(before.Old), pair.New.since(before.New), pair.Old)
		if found != "" {
			reason = "route " + group + ": " + found
		}
		t.last[group] = pair
	}
	return reason
}

func (g *groupTest) step(threshold float64, old, fresh, oldTotal Counts) (reason string) {
	g.old = append(g.old, old)
	if len(g.old) > oldSlices {
		g.old = slices.Delete(g.old, 0, 1)
	}
	var lately Counts
	for _, c := range g.old {
		lately.add(c)
	}
	if lately.Answers < minOld {
		lately = oldTotal
	}
	now := old
	if n := len(g.old); n > 1 {
		now.add(g.old[n-2])
	}
	for i, k := range criteria {
		median := lately.Latency.median()
		n, bad := k.count(fresh, median)
		if median < 0 && i > 0 {
			continue // nothing to compare with
		}
		p0, p1 := k.rates(k.step, median, lately, now)
		s := &g.sums[i]
		s.value += min(logRatio(n, bad, p0, p1), threshold/k.minSlices)
		s.bad += bad
		if s.value <= 0 {
			*s = cusum{}
		}
		if s.value >= threshold && s.bad >= minBad {
			reason = fmt.Sprintf("%s of the new version: log likelihood ratio %.1f, threshold %.1f; old rate at most %.3f", k.name, s.value, threshold, p0)
		}
	}
	return reason
}

// minGroupShare is the share of the old version's answers from which a group must be
// accepted on its own.
const minGroupShare = 0.03

// missing returns what the totals still lack to accept the new version, in order.
func (t *tester) missing(totals Totals) []string {
	answers := uint64(0)
	for _, pair := range totals {
		answers += pair.Old.Answers
	}
	var out []string
	if answers == 0 {
		return []string{"no answers of the old version to compare with"}
	}
	for group, pair := range totals {
		if float64(pair.Old.Answers) < minGroupShare*float64(answers) {
			continue
		}
		limit := math.Log(falseAcceptance)
		if float64(pair.Old.Answers) < smallGroupShare*float64(answers) {
			limit = math.Log(smallGroupAcceptance)
		}
		median := pair.Old.Latency.median()
		for i, k := range criteria {
			n, bad := k.count(pair.New, median)
			if pair.Old.Answers < minOld {
				continue
			}
			p0, p1 := k.rates(k.accept, median, pair.Old)
			if ratio := logRatio(n, bad, p0, p1); ratio > limit {
				out = append(out, fmt.Sprintf("route %s, %s: log likelihood ratio %.1f, needs %.1f or less; %d of %d", group, k.name, ratio, limit, bad, n))
			} else if test := t.groups[group]; test != nil && test.sums[i].value > t.threshold/3 {
				out = append(out, fmt.Sprintf("route %s, %s: worse than the old version at present", group, k.name))
			}
		}
	}
	slices.Sort(out)
	return out
}
