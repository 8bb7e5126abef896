package config

import (
	"sort"

	"github.com/cockroachdb/errors"
)

// Change is one revision's difference to the revision before. Exactly one of
// the fields besides Revision is set.
type Change struct {
	Revision   uint64      `json:"revision"`
	Deployment *Deployment `json:"deployment,omitempty"` // replaces the deployment of that name
	Key        *Key        `json:"key,omitempty"`        // creates or revokes a key
	Members    *Membership `json:"members,omitempty"`
}

// Membership is the record of router instances, sorted by ID.
type Membership struct {
	Members []Member `json:"members"`
}

// ErrOutOfOrder is returned by Snapshot.Apply for a change that is not the
// next revision.
var ErrOutOfOrder = errors.New("change is not the next revision")

// Snapshot is an immutable view of the configuration at one revision.
type Snapshot struct {
	Revision    uint64
	Deployments map[string]*Deployment
	Keys        map[Digest]*Key
	Members     Membership

	customers    map[string]*Customer
	applications map[string]*Application
	models       map[string]*Application
	pools        map[string]*Pool
	owner        map[string]*Deployment // by application ID
	keyIDs       map[string]*Key
}

// NewSnapshot returns the empty configuration at revision 0.
func NewSnapshot() *Snapshot {
	s := &Snapshot{Deployments: map[string]*Deployment{}, Keys: map[Digest]*Key{}}
	s.index()
	return s
}

// Restore returns a snapshot built from the current state instead of changes.
func Restore(revision uint64, deployments []*Deployment, keys []*Key, members Membership) *Snapshot {
	s := &Snapshot{Revision: revision, Deployments: map[string]*Deployment{}, Keys: map[Digest]*Key{}, Members: members}
	for _, d := range deployments {
		s.Deployments[d.Name] = d
	}
	for _, k := range keys {
		s.Keys[k.Digest] = k
	}
	s.index()
	return s
}

// Apply returns the snapshot after c. It returns ErrOutOfOrder unless c is the
// next revision. The receiver is not modified.
func (s *Snapshot) Apply(c Change) (*Snapshot, error) {
	if c.Revision != s.Revision+1 {
		return nil, errors.Wrapf(ErrOutOfOrder, "have revision %d, got change %d", s.Revision, c.Revision)
	}
	n := *s
	n.Revision = c.Revision
	switch {
	case c.Deployment != nil:
		n.Deployments = make(map[string]*Deployment, len(s.Deployments)+1)
		for name, d := range s.Deployments {
			n.Deployments[name] = d
		}
		n.Deployments[c.Deployment.Name] = c.Deployment
		n.index()
	case c.Key != nil:
		n.Keys = make(map[Digest]*Key, len(s.Keys)+1)
		for digest, k := range s.Keys {
			n.Keys[digest] = k
		}
		n.Keys[c.Key.Digest] = c.Key
		n.indexKeys()
	case c.Members != nil:
		n.Members = *c.Members
	}
	return &n, nil
}

func (s *Snapshot) index() {
	s.customers = map[string]*Customer{}
	s.applications = map[string]*Application{}
	s.models = map[string]*Application{}
	s.pools = map[string]*Pool{}
	s.owner = map[string]*Deployment{}
	for _, d := range s.Deployments {
		for i := range d.Customers {
			s.customers[d.Customers[i].ID] = &d.Customers[i]
		}
		for i := range d.Pools {
			s.pools[d.Pools[i].Name] = &d.Pools[i]
		}
		for i := range d.Applications {
			a := &d.Applications[i]
			s.applications[a.ID] = a
			s.owner[a.ID] = d
			if a.Kind == Model {
				s.models[a.Model] = a
			}
		}
	}
	s.indexKeys()
}

func (s *Snapshot) indexKeys() {
	s.keyIDs = make(map[string]*Key, len(s.Keys))
	for _, k := range s.Keys {
		s.keyIDs[k.ID] = k
	}
}

// Customer returns the customer with the ID, or nil.
func (s *Snapshot) Customer(id string) *Customer { return s.customers[id] }

// Application returns the application with the ID, or nil.
func (s *Snapshot) Application(id string) *Application { return s.applications[id] }

// ApplicationByModel returns the application that serves the model, or nil.
func (s *Snapshot) ApplicationByModel(model string) *Application { return s.models[model] }

// DeploymentOf returns the deployment of an application, or nil.
func (s *Snapshot) DeploymentOf(application string) *Deployment { return s.owner[application] }

// Pool returns the pool with the name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// KeyByID returns the key with the ID, or nil.
func (s *Snapshot) KeyByID(id string) *Key { return s.keyIDs[id] }

// Models returns the names of all models in order.
func (s *Snapshot) Models() []string {
	names := make([]string, 0, len(s.models))
	for name := range s.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Pools returns all pools ordered by name.
func (s *Snapshot) Pools() []*Pool {
	pools := make([]*Pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	return pools
}
