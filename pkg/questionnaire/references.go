package questionnaire

import (
	"fmt"

	"github.com/fescuestep/fescuestep/pkg/suggest"
)

// names collects the names of one kind and reports those given twice.
func (d *decoder) names(kind string, n int, at func(int) (path, name string)) []string {
	first := map[string]string{}
	var list []string
	for i := range n {
		path, name := at(i)
		if name == "" {
			continue
		}
		if before, ok := first[name]; ok {
			d.add(path, fmt.Sprintf("%s %q is given twice", kind, name), fmt.Sprintf("also on line %d", d.find(before).line))
			continue
		}
		first[name] = path
		list = append(list, name)
	}
	return list
}

// texts is names for a list of plain texts.
func (d *decoder) texts(kind, path string, list []string) []string {
	return d.names(kind, len(list), func(i int) (string, string) { return fmt.Sprintf("%s[%d]", path, i), list[i] })
}

// target is what references of one kind may name.
type target struct {
	kind    string
	names   []string
	set     map[string]bool
	defined bool // names is complete
}

func (d *decoder) target(kind, list string, names []string) *target {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return &target{kind, names, set, d.defined(list)}
}

// refer reports a name that the target doesn't have.
func (d *decoder) refer(path, name string, to *target) {
	if name == "" || to.set[name] || !to.defined {
		return
	}
	d.add(path, fmt.Sprintf("no %s is named %q", to.kind, name), suggest.DidYouMean(suggest.Closest(name, to.names)))
}

// references reports names given twice and names that refer to nothing.
func (d *decoder) references(q *Questionnaire) {
	d.texts("failure domain", "failure_domains", q.FailureDomains)
	spaces := d.texts("order space", "order_spaces", q.OrderSpaces)
	customers := d.names("customer", len(q.Customers), func(i int) (string, string) {
		return fmt.Sprintf("customers[%d].id", i), q.Customers[i].ID
	})
	applications := d.names("application", len(q.Applications), func(i int) (string, string) {
		return fmt.Sprintf("applications[%d].id", i), q.Applications[i].ID
	})
	pools := d.names("pool", len(q.Pools), func(i int) (string, string) {
		return fmt.Sprintf("pools[%d].name", i), q.Pools[i].Name
	})
	d.names("model", len(q.Applications), func(i int) (string, string) {
		return fmt.Sprintf("applications[%d].model", i), q.Applications[i].Model
	})
	d.customerReferences(q, d.target("application", "applications", applications))
	d.sharedCacheReferences(q, d.target("customer", "customers", customers))
	d.poolReferences(q, d.target("pool", "pools", pools), d.target("order space", "order_spaces", spaces))
}

func (d *decoder) customerReferences(q *Questionnaire, applications *target) {
	for i, c := range q.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		d.texts("team", path+".teams", c.Teams)
		d.texts("application", path+".applications", c.Applications)
		for j, name := range c.Applications {
			d.refer(fmt.Sprintf("%s.applications[%d]", path, j), name, applications)
		}
	}
}

// sharedCacheReferences also refuses a customer in two shared caches: its
// prompts could then be reused by customers that never agreed to share.
func (d *decoder) sharedCacheReferences(q *Questionnaire, customers *target) {
	d.names("shared cache", len(q.SharedCaches), func(i int) (string, string) {
		return fmt.Sprintf("shared_caches[%d].name", i), q.SharedCaches[i].Name
	})
	in := map[string]string{}
	for i, shared := range q.SharedCaches {
		for j, name := range shared.Customers {
			path := fmt.Sprintf("shared_caches[%d].customers[%d]", i, j)
			d.refer(path, name, customers)
			if other, ok := in[name]; ok && name != "" {
				d.add(path, fmt.Sprintf("customer %q already stands in shared cache %q", name, other), "a customer shares at most one cache")
			}
			in[name] = shared.Name
		}
	}
}

func (d *decoder) poolReferences(q *Questionnaire, pools, spaces *target) {
	for i, a := range q.Applications {
		path := fmt.Sprintf("applications[%d]", i)
		d.refer(path+".pool", a.Pool, pools)
		d.names("call", len(a.Calls), func(j int) (string, string) {
			return fmt.Sprintf("%s.calls[%d].path", path, j), a.Calls[j].Method + " " + a.Calls[j].Path
		})
		for j, c := range a.Calls {
			d.refer(fmt.Sprintf("%s.calls[%d].order_space", path, j), c.OrderSpace, spaces)
		}
	}
	for i, p := range q.Pools {
		d.refer(fmt.Sprintf("pools[%d].kv_pool", i), p.KVPool, pools)
	}
}
