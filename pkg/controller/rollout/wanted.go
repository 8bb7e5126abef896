package rollout

import (
	"slices"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/external"
)

// wanted returns the live engines of the list with what the configuration
// wants of them. Leaving engines get no commands.
func wanted(s *config.Snapshot, instances []external.Instance) []control.Upstream {
	adapters := adaptersByPool(s)
	var out []control.Upstream
	for _, instance := range instances {
		pool := s.Pool(instance.Pool)
		if pool == nil || pool.Kind != config.Model || instance.State != external.Live {
			continue
		}
		out = append(out, control.Upstream{
			ID: instance.ID, Addr: instance.Addr, ChecksFencing: pool.ChecksFencing,
			Desired: control.DesiredState{Weights: pool.Weights, Adapters: adapters[pool.Name]},
		})
	}
	return out
}

// adaptersByPool lists the adapters that the applications of each pool name,
// sorted and without repetition.
func adaptersByPool(s *config.Snapshot) map[string][]string {
	out := map[string][]string{}
	for _, deployment := range s.Deployments {
		for _, a := range deployment.Applications {
			if a.Kind == config.Model && a.Adapter != "" {
				out[a.Pool] = append(out[a.Pool], a.Adapter)
			}
		}
	}
	for pool, names := range out {
		slices.Sort(names)
		out[pool] = slices.Compact(names)
	}
	return out
}
