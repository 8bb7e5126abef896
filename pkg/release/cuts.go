package release

// cuts holds answers that ended with their connections. Such an answer counts as bad when
// the process of the upstream answers afterwards, or when so many processes have ended that
// the version is the likely reason: the end of a single process spoils all of its answers at
// a moment, and happens to any version.
type cuts struct {
	byProcess map[string][]Sample // those that do not count yet
	ended     map[string]bool     // processes of the new version with cuts
}

const (
	// maxCuts bounds the answers that are held per process.
	maxCuts = 64
	// maxCutProcesses bounds the processes. A rollout sees a few of them end.
	maxCutProcesses = 256
	// endedProcesses is the number of processes of the new version whose ends count.
	endedProcesses = 4
)

// RecordCut records an answer that ended with its connection.
func (r *Rollout) RecordCut(process string, s Sample) {
	c := &r.cuts
	if c.byProcess == nil {
		c.byProcess, c.ended = map[string][]Sample{}, map[string]bool{}
	}
	if _, known := c.byProcess[process]; !known && len(c.byProcess) >= maxCutProcesses {
		return
	}
	s.Bad = true
	if held := c.byProcess[process]; len(held) < maxCuts {
		c.byProcess[process] = append(held, s)
	}
	if s.New {
		c.ended[process] = true
	}
	if len(c.ended) >= endedProcesses {
		for process := range c.ended {
			r.countCuts(process)
		}
	}
}

// RecordAnswer records an answer of a process.
func (r *Rollout) RecordAnswer(process string, s Sample) {
	r.evidence.record(s)
	if len(r.cuts.byProcess[process]) > 0 {
		r.countCuts(process)
		delete(r.cuts.ended, process)
	}
}

func (r *Rollout) countCuts(process string) {
	for _, s := range r.cuts.byProcess[process] {
		r.evidence.record(s)
	}
	r.cuts.byProcess[process] = nil
}
