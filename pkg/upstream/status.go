package upstream

import (
	"sort"
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// State is the availability of an upstream for new requests.
type State string

// States of an upstream.
const (
	StateLive        State = "live"
	StateLeaving     State = "leaving"
	StateUnreachable State = "unreachable" // failed polls
	StateEjected     State = "ejected"     // refused connections or failed requests
	StateLoading     State = "loading"     // serves a weights version other than the configured one
)

// Status describes one upstream to operators.
type Status struct {
	Pool        string        `json:"pool"`
	ID          string        `json:"id"`
	Addr        string        `json:"addr"`
	Domain      string        `json:"domain"`
	State       State         `json:"state"`
	Incarnation string        `json:"incarnation,omitempty"`
	Weights     string        `json:"weights,omitempty"`
	InFlight    int           `json:"in_flight"` // requests of this instance
	Total       int           `json:"total"`     // requests of all instances, estimated
	QueueWait   time.Duration `json:"queue_wait"`
	Blocks      int           `json:"cached_blocks"`
	Uncertain   bool          `json:"cache_uncertain"`
	Survival    time.Duration `json:"cache_survival"`
}

// Status returns the state of every listed upstream, ordered by ID.
func (s *Scheduler) Status(now time.Time) []Status {
	list := s.store.List()
	out := make([]Status, 0, len(list))
	for _, u := range list {
		out = append(out, Status{
			Pool:        s.settings.Pool.Name,
			ID:          u.ID,
			Addr:        u.Addr,
			Domain:      u.Domain,
			State:       s.upstreamState(now, u),
			Incarnation: u.Incarnation,
			Weights:     u.WeightsVersion,
			InFlight:    u.InFlight(),
			Total:       u.TotalInFlight(),
			QueueWait:   u.QueueWait(now, s.store.Instances),
			Blocks:      s.store.Index.BlockCount(u.IndexHandle),
			Uncertain:   s.store.Index.NeedsSnapshot(u.IndexHandle),
			Survival:    s.store.Index.SurvivalTime(u.IndexHandle),
		})
	}
	return out
}

func (s *Scheduler) upstreamState(now time.Time, u *pick.Upstream) State {
	switch {
	case u.ListedLeaving, u.ReportedLeaving:
		return StateLeaving
	case u.Unreachable():
		return StateUnreachable
	case u.Outlier.Ejected(now):
		return StateEjected
	case s.store.TargetWeightsVersion != "" && u.WeightsVersion != "" && u.WeightsVersion != s.store.TargetWeightsVersion:
		return StateLoading
	}
	return StateLive
}

// Status returns the state of every listed upstream, ordered by pool and ID.
func (p *Pools) Status() []Status {
	var out []Status
	for _, pl := range *p.pools.Load() {
		pl.withLock(func(now time.Time, s *Scheduler) { out = append(out, s.Status(now)...) })
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}
