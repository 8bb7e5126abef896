package questionnaire

import (
	"fmt"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// BuildFor is Build for a fleet that already has a configuration: it also
// reports names that another deployment of the fleet uses, because customers,
// applications, models and pools are looked up by name over all deployments.
func BuildFor(s *config.Snapshot, text []byte) (*config.Deployment, error) {
	q, d := parse(text)
	if !d.unreadable {
		d.examine(q)
		d.conflicts(q, s)
	}
	if mistakes := d.sorted(); len(mistakes) > 0 {
		return nil, Mistakes(mistakes)
	}
	return Generate(q), nil
}

func (d *decoder) conflicts(q *Questionnaire, s *config.Snapshot) {
	used := namesOfOthers(s, q.Deployment)
	for i, c := range q.Customers {
		d.taken(used, "customer", c.ID, fmt.Sprintf("customers[%d].id", i))
	}
	for i, a := range q.Applications {
		d.taken(used, "application", a.ID, fmt.Sprintf("applications[%d].id", i))
		d.taken(used, "model", a.Model, fmt.Sprintf("applications[%d].model", i))
	}
	for i, p := range q.Pools {
		d.taken(used, "pool", p.Name, fmt.Sprintf("pools[%d].name", i))
	}
}

type kindName struct{ kind, name string }

func (d *decoder) taken(used map[kindName]string, kind, name, path string) {
	if owner, ok := used[kindName{kind, name}]; ok && name != "" {
		d.addChecked(path, fmt.Sprintf("deployment %q already has a %s named %q", owner, kind, name), "choose another name")
	}
}

// namesOfOthers returns the deployment that uses each name, except for the
// given deployment, which is replaced.
func namesOfOthers(s *config.Snapshot, deployment string) map[kindName]string {
	used := map[kindName]string{}
	for _, d := range s.Deployments {
		if d.Name == deployment {
			continue
		}
		for i := range d.Customers {
			used[kindName{"customer", d.Customers[i].ID}] = d.Name
		}
		for i := range d.Applications {
			used[kindName{"application", d.Applications[i].ID}] = d.Name
			used[kindName{"model", d.Applications[i].Model}] = d.Name
		}
		for i := range d.Pools {
			used[kindName{"pool", d.Pools[i].Name}] = d.Name
		}
	}
	return used
}
