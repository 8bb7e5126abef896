package questionnaire

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// Defaults for questions left unanswered.
const (
	DefaultOneWayDelay    = 500 * time.Microsecond // between failure domains of one region
	DefaultWeight         = 1
	DefaultModelSlots     = 16   // a continuous batch of this size keeps an engine busy
	DefaultServiceSlots   = 64   // plain calls hold little upstream memory
	DefaultBlockTokens    = 2000 // block size of the engines in both example workloads
	DefaultPrefill        = 20000
	DefaultKVImport       = 200000 // recomputation costs far more than an import
	DefaultEnginePriority = 5      // middle of 0 to 9
)

// Build checks the text and generates the deployment. The error is of type
// Mistakes.
func Build(text []byte) (*config.Deployment, error) {
	q, mistakes := check(text)
	if len(mistakes) > 0 {
		return nil, Mistakes(mistakes)
	}
	return Generate(q), nil
}

// Generate returns the configuration for answers without mistakes. It is
// deterministic: lists whose order has no meaning are sorted, so the same
// answers in another order give the same JSON.
func Generate(q *Questionnaire) *config.Deployment {
	d := &config.Deployment{
		Name:        q.Deployment,
		Region:      q.Region,
		Domains:     sorted(q.FailureDomains),
		OneWayDelay: cmp.Or(q.OneWayDelay, DefaultOneWayDelay),
		Priority:    config.Priority(q.Priority),
	}
	scopes := cacheScopes(q)
	for i := range q.Customers {
		d.Customers = append(d.Customers, customer(&q.Customers[i], scopes))
	}
	for i := range q.Applications {
		d.Applications = append(d.Applications, application(q.Deployment, &q.Applications[i]))
	}
	for i := range q.Pools {
		d.Pools = append(d.Pools, pool(&q.Pools[i]))
	}
	slices.SortFunc(d.Customers, func(a, b config.Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Applications, func(a, b config.Application) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Pools, func(a, b config.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// cacheScopes returns the cache scope of each customer. Scopes carry the
// deployment's name so that customers of two deployments never share one, and
// the prefixes keep a shared cache apart from a customer of the same name.
func cacheScopes(q *Questionnaire) map[string]string {
	scopes := make(map[string]string, len(q.Customers))
	for _, c := range q.Customers {
		scopes[c.ID] = q.Deployment + "/customer/" + c.ID
	}
	for _, s := range q.SharedCaches {
		for _, id := range s.Customers {
			scopes[id] = q.Deployment + "/shared/" + s.Name
		}
	}
	return scopes
}

func customer(c *Customer, scopes map[string]string) config.Customer {
	return config.Customer{
		ID:              c.ID,
		Name:            cmp.Or(c.Name, c.ID),
		Teams:           sorted(c.Teams),
		RatePerSecond:   c.Rate,
		Burst:           c.Burst,
		Weight:          cmp.Or(c.Weight, DefaultWeight),
		CacheScope:      scopes[c.ID],
		Class:           c.Class,
		WhenUnconfirmed: config.WhenUnconfirmed(cmp.Or(c.WhenUnconfirmed, string(config.Refuse))),
		Applications:    sorted(c.Applications),
	}
}

func application(deployment string, a *Application) config.Application {
	app := config.Application{
		ID:       a.ID,
		Kind:     config.Kind(a.Kind),
		Pool:     a.Pool,
		Model:    a.Model,
		Adapter:  a.Adapter,
		Timeout:  a.Timeout,
		Priority: DefaultEnginePriority,
	}
	if a.EnginePriority != nil {
		app.Priority = *a.EnginePriority
	}
	for i := range a.Calls {
		app.Routes = append(app.Routes, route(deployment, a.ID, &a.Calls[i]))
	}
	slices.SortFunc(app.Routes, func(x, y config.Route) int {
		return cmp.Or(cmp.Compare(x.Path, y.Path), cmp.Compare(x.Method, y.Method))
	})
	return app
}

// route names the order space of a call that may not be repeated. The
// deployment's name and a dot, which names can't contain, keep the spaces of
// two deployments apart.
func route(deployment, application string, c *Call) config.Route {
	r := config.Route{
		Method:      c.Method,
		Path:        c.Path,
		Open:        bool(c.Open),
		Idempotent:  c.mayRepeat(),
		OrderHeader: c.OrderNumber.Header,
		OrderField:  c.OrderNumber.BodyField,
	}
	if !r.Idempotent {
		r.OrderSpace = deployment + "." + cmp.Or(c.OrderSpace, application)
	}
	return r
}

func pool(p *Pool) config.Pool {
	out := config.Pool{
		Name:          p.Name,
		Kind:          config.Kind(p.Kind),
		Weights:       p.Weights,
		ChecksFencing: bool(p.ChecksFencing),
		MaxInFlight:   cmp.Or(p.MaxInFlight, DefaultServiceSlots),
	}
	if out.Kind != config.Model {
		return out
	}
	out.MaxInFlight = cmp.Or(p.MaxInFlight, DefaultModelSlots)
	out.BlockTokens = cmp.Or(p.BlockTokens, DefaultBlockTokens)
	out.PrefillPerSec = cmp.Or(p.PrefillPerSecond, DefaultPrefill)
	if p.KVPool != "" {
		out.KVPool = p.KVPool
		out.KVImportPerSec = cmp.Or(p.KVImportPerSecond, DefaultKVImport)
	}
	return out
}

func sorted(list []string) []string {
	return slices.Sorted(slices.Values(list))
}
