package release

import "time"

// Report is the state of a rollout for operators, as one instance knows it.
type Report struct {
	Service  string        `json:"service"`
	To       string        `json:"to"`
	Phase    string        `json:"phase"`
	Final    bool          `json:"final"` // the store holds the phase
	Reason   string        `json:"reason,omitempty"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	Duration time.Duration `json:"duration_ns"`
	Leader   bool          `json:"leader"` // this instance moves the rollout on
	Requests uint64        `json:"requests"`
	Exposed  uint64        `json:"exposed"` // to the new version before the shift
	Groups   []GroupReport `json:"groups"`
	Waiting  []string      `json:"waiting"`
}

// GroupReport is the evidence of a route. The sums roll the rollout back when they reach the
// threshold.
type GroupReport struct {
	Group      string  `json:"group"`
	OldAnswers uint64  `json:"old_answers"`
	OldBad     uint64  `json:"old_bad"`
	NewAnswers uint64  `json:"new_answers"`
	NewBad     uint64  `json:"new_bad"`
	BadSum     float64 `json:"bad_sum"`
	SlowSum    float64 `json:"slow_sum"`
	Threshold  float64 `json:"threshold"`
}

// Report returns the state of the rollout.
func (r *Rollout) Report(now time.Time, peers []Peer) Report {
	out := Report{
		Service: r.order.Service, To: r.order.To, Phase: r.phase.String(), Final: r.final, Reason: r.reason,
		Elapsed: r.elapsed(now), Duration: r.order.Duration, Leader: now.Before(r.leaderUntil),
		Groups: []GroupReport{}, Waiting: r.Waiting(now, peers),
	}
	out.Requests, out.Exposed = r.Exposure()
	for _, group := range r.evidence.all.Groups() {
		pair := r.evidence.all[group]
		g := GroupReport{
			Group: group, OldAnswers: pair.Old.Answers, OldBad: pair.Old.Bad, NewAnswers: pair.New.Answers, NewBad: pair.New.Bad,
			Threshold: r.tester.threshold,
		}
		if test := r.tester.groups[group]; test != nil {
			g.BadSum, g.SlowSum = test.sums[0].value, test.sums[1].value
		}
		out.Groups = append(out.Groups, g)
	}
	return out
}
