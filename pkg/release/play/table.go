package play

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/release"
)

// Table plays every kind of version with several seeds at several numbers of instances and
// writes what happened. Runs go on side by side, workers at once.
func Table(w io.Writer, o Options, instances []int, seeds, workers int) {
	fmt.Fprintf(w, "%d upstreams of each version, %.0f requests/s, %s, %d seeds; half of the bound is 0.05 of the requests + 25\n\n", o.Upstreams, o.Rate, o.Duration, seeds)
	fmt.Fprintln(w, "| version | instances | completed | rolled back | open | exposed, share of half the bound: median, most | rolled back after: median, most | from the 50th bad answer to the last request: most | completed after: median, most | requests at old upstreams |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, kind := range Kinds() {
		for _, n := range instances {
			results := make([]Result, seeds)
			var wg sync.WaitGroup
			free := make(chan bool, workers)
			for seed := range seeds {
				free <- true
				wg.Go(func() {
					run := o
					run.Kind, run.Instances, run.Seed = kind, n, uint64(seed)
					results[seed] = Play(run)
					<-free
				})
			}
			wg.Wait()
			writeRow(w, kind, n, results)
		}
	}
}

func writeRow(w io.Writer, kind Kind, instances int, results []Result) {
	var exposed []float64
	var completed, rolledBack, after []time.Duration
	old, open := 0, 0
	for _, r := range results {
		switch {
		case r.Final && r.Phase == release.Completed:
			completed = append(completed, r.Ended)
		case r.Final:
			rolledBack = append(rolledBack, r.Ended)
		default:
			open++
		}
		if kind.Fails || kind.Slow {
			exposed = append(exposed, float64(r.Exposed)/(0.05*float64(r.Requests)+25))
		}
		after = append(after, r.AfterBad)
		old += r.OldAtEnd
	}
	share := "-"
	if len(exposed) > 0 {
		share = fmt.Sprintf("%.2f, %.2f", middle(exposed), slices.Max(exposed))
	}
	fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %s | %s | %s | %s | %d |\n", kind, instances, len(completed), len(rolledBack), open,
		share, spread(rolledBack), slices.Max(after).Round(10*time.Millisecond), spread(completed), old)
}

func middle[T cmp.Ordered](list []T) T {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func spread(list []time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf("%s, %s", middle(list).Round(10*time.Millisecond), slices.Max(list).Round(10*time.Millisecond))
}
