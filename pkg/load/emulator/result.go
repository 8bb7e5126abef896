package emulator

import (
	"fmt"
	"io"
	"time"
)

// ClassResult is what the callers of one class, or one size class of it, got.
type ClassResult struct {
	Name     string
	Requests int
	InTime   int
	Refused  int
	Bound    int           // that would be in time on an idle engine that keeps what any computed before
	P50, P99 time.Duration // until the first token

	times []time.Duration
}

// Share returns the part of the requests that was in time.
func (c *ClassResult) Share() float64 { return float64(c.InTime) / float64(max(1, c.Requests)) }

// Result is one load under one policy.
type Result struct {
	Policy  string
	Classes []*ClassResult // each followed by its largest tenth
	Reread  int            // tokens of shared parts that were computed again
	Moved   int            // tokens moved between engines and the store

	d     *Deployment
	large []int // prompt size from which a request is among the largest tenth, by class
}

func newResult(d *Deployment, name string) *Result {
	r := &Result{Policy: name, d: d}
	for _, c := range d.Classes {
		r.Classes = append(r.Classes, &ClassResult{Name: c.Name}, &ClassResult{Name: c.Name + ", largest tenth"})
	}
	return r
}

// of returns the results that an arrival counts for.
func (r *Result) of(a *arrival) []*ClassResult {
	all, largest := r.Classes[2*a.class], r.Classes[2*a.class+1]
	if a.prompt >= r.large[a.class] {
		return []*ClassResult{all, largest}
	}
	return []*ClassResult{all}
}

func (r *Result) refused(a *arrival) {
	for _, c := range r.of(a) {
		c.Refused++
	}
}

func (r *Result) first(a *arrival, took time.Duration, reread int) {
	r.Reread += reread
	for _, c := range r.of(a) {
		c.times = append(c.times, took)
		if took <= r.d.Classes[a.class].Target {
			c.InTime++
		}
	}
}

// prepare counts the requests and computes the bound: each alone on the fastest
// engine, with every shared part kept that came before.
func (r *Result) prepare(arrivals []arrival) {
	r.large = make([]int, len(r.d.Classes))
	for c := range r.d.Classes {
		r.large[c] = largestTenth(arrivals, c)
	}
	fastest := r.d.Slowness[0]
	for _, s := range r.d.Slowness {
		fastest = min(fastest, s)
	}
	seen := map[uint64]bool{}
	for i := range arrivals {
		a := &arrivals[i]
		least := r.d.Engine.alone(a, seen)
		for _, c := range r.of(a) {
			c.Requests++
			if time.Duration(float64(least)*fastest) <= r.d.Classes[a.class].Target {
				c.Bound++
			}
		}
		for _, p := range a.parts {
			seen[p.key] = true
		}
	}
}

// alone returns the time to the first token on an idle engine that keeps the
// leading parts that were seen.
func (s *Spec) alone(a *arrival, seen map[uint64]bool) time.Duration {
	kept := 0
	for _, p := range a.parts {
		if !seen[p.key] {
			break
		}
		kept += p.tokens
	}
	compute := a.prompt - kept
	steps := (compute + s.Chunk - 1) / s.Chunk
	took := toEngine + time.Duration(max(1, steps))*(s.Step+s.StepPerRequest)
	took += time.Duration(float64(compute) / s.TokensPerMS * float64(time.Millisecond))
	pairs := float64(compute) * (float64(kept) + float64(compute)/2)
	return took + time.Duration(pairs/1e6*float64(s.PairTime))
}

func largestTenth(arrivals []arrival, class int) int {
	var sizes []time.Duration
	for i := range arrivals {
		if arrivals[i].class == class {
			sizes = append(sizes, time.Duration(arrivals[i].prompt))
		}
	}
	return int(quantile(sizes, 0.9))
}

func (r *Result) finish() {
	for _, c := range r.Classes {
		c.P50, c.P99 = quantile(c.times, 0.5), quantile(c.times, 0.99)
	}
}

// Play plays one load under each policy.
func Play(d *Deployment, policies []string, seed uint64, length time.Duration) ([]*Result, error) {
	var out []*Result
	for _, name := range policies {
		arrivals := d.draw(seed, length)
		sortByTime(arrivals)
		r := newRun(d, name)
		if err := r.usePolicy(name, seed); err != nil {
			return nil, err
		}
		r.result.prepare(arrivals)
		result := r.play(arrivals, length)
		result.finish()
		out = append(out, result)
	}
	return out, nil
}

// Write prints results as a table.
func Write(out io.Writer, results []*Result) {
	fmt.Fprintf(out, "%-16s %-32s %8s %8s %8s %8s %9s %9s\n", "policy", "requests", "number", "in time", "bound", "refused", "p50 ms", "p99 ms")
	for _, r := range results {
		for _, c := range r.Classes {
			fmt.Fprintf(out, "%-16s %-32s %8d %8.3f %8.3f %8d %9.1f %9.1f\n", r.Policy, c.Name, c.Requests, c.Share(),
				float64(c.Bound)/float64(max(1, c.Requests)), c.Refused, milliseconds(c.P50), milliseconds(c.P99))
		}
		fmt.Fprintf(out, "%-16s %d tokens of shared parts computed again, %d tokens moved\n", r.Policy, r.Reread, r.Moved)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
