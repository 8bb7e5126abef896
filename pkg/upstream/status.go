package upstream

import (
	"sort"
	"time"

	"github.com/fescuestep/fescuestep/pkg/pick"
)

// State says whether and why an upstream takes new work.
type State string

// States of upstreams.
const (
	StateLive        State = "live"
	StateLeaving     State = "leaving"
	StateUnreachable State = "unreachable" // a poll failed
	StateEjected     State = "ejected"     // refused connections or failed requests
	StateLoading     State = "loading"     // serves another weights version than wanted
)

// Status describes one upstream for operators.
type Status struct {
	Pool        string        `json:"pool"`
	ID          string        `json:"id"`
	Addr        string        `json:"addr"`
	Domain      string        `json:"domain"`
	State       State         `json:"state"`
	Incarnation string        `json:"incarnation,omitempty"`
	Weights     string        `json:"weights,omitempty"`
	InFlight    int           `json:"in_flight"` // of this instance
	Total       int           `json:"total"`     // estimated over all instances
	QueueWait   time.Duration `json:"queue_wait"`
	Blocks      int           `json:"cached_blocks"`
	Uncertain   bool          `json:"cache_uncertain"`
	Survival    time.Duration `json:"cache_survival"`
}

// Status returns the state of every listed upstream, ordered by ID.
func (c *Scheduler) Status(now time.Time) []Status {
	list := c.store.List()
	out := make([]Status, 0, len(list))
	for _, u := range list {
		out = append(out, Status{
			Pool:        c.settings.Pool.Name,
			ID:          u.ID,
			Addr:        u.Addr,
			Domain:      u.Domain,
			State:       c.upstreamState(now, u),
			Incarnation: u.Incarnation,
			Weights:     u.WeightsVersion,
			InFlight:    u.InFlight(),
			Total:       u.TotalInFlight(),
			QueueWait:   u.QueueWait(now, c.store.Instances),
			Blocks:      c.store.Index.BlockCount(u.IndexHandle),
			Uncertain:   c.store.Index.NeedsSnapshot(u.IndexHandle),
			Survival:    c.store.Index.SurvivalTime(u.IndexHandle),
		})
	}
	return out
}

func (c *Scheduler) upstreamState(now time.Time, u *pick.Upstream) State {
	switch {
	case u.ListedLeaving, u.ReportedLeaving:
		return StateLeaving
	case u.Unreachable():
		return StateUnreachable
	case u.Outlier.Ejected(now):
		return StateEjected
	case c.store.TargetWeightsVersion != "" && u.WeightsVersion != "" && u.WeightsVersion != c.store.TargetWeightsVersion:
		return StateLoading
	}
	return StateLive
}

// Status returns the state of every listed upstream, ordered by pool and ID.
func (p *Pools) Status() []Status {
	var out []Status
	for _, pl := range *p.pools.Load() {
		pl.withLock(func(now time.Time, c *Scheduler) { out = append(out, c.Status(now)...) })
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}
