package routing

import (
	"strconv"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// maxIdempotentAttempts is the number of upstreams that an idempotent call may
// be sent to.
const maxIdempotentAttempts = 2

// FromDeployment returns the routing configuration of a deployment that was
// generated from a questionnaire. keys maps API keys to customer names. Callers
// reach an application at host under the path /<application>/. KV cache stores
// are left out because the platform assigns their addresses.
func FromDeployment(d *config.Deployment, host string, version uint64, keys map[string]string) Config {
	c := Config{Version: version, Keys: keys, Limits: DefaultLimits()}
	models := map[string][]string{} // by pool
	for _, a := range d.Applications {
		c.Routes = append(c.Routes, applicationRoutes(a, strings.ToLower(host))...)
		if a.Kind == config.Model {
			models[a.Pool] = append(models[a.Pool], a.Model)
		}
	}
	for _, p := range d.Pools {
		switch p.Kind {
		case config.Model:
			c.Services = append(c.Services, Service{Name: p.Name, Engine: &Engine{Slots: p.MaxInFlight, Models: models[p.Name]}})
		case config.Service:
			c.Services = append(c.Services, Service{Name: p.Name})
		case config.KV:
		}
	}
	scopes := map[string]int{}
	for _, customer := range d.Customers {
		scopes[customer.CacheScope]++
	}
	for _, customer := range d.Customers {
		c.Customers = append(c.Customers, Customer{
			Name: customer.ID, Rate: customer.RatePerSecond, Burst: customer.Burst,
			Isolated: scopes[customer.CacheScope] == 1,
		})
	}
	return c
}

// applicationRoutes returns one stream route for a model application, and one
// route for each path of a plain one.
func applicationRoutes(a config.Application, host string) []Route {
	base := Route{
		Name: a.ID, Host: host, Prefix: "/" + a.ID + "/", Split: []WeightedService{{Service: a.Pool, Weight: 1}},
		Timeout: a.Timeout, Priority: a.Priority, MaxAttempts: 1,
	}
	if a.Kind == config.Model {
		base.Kind, base.HasPrompt = Stream, true
		return []Route{base}
	}
	var out []Route
	for i, r := range a.Routes {
		route := base
		route.Name = a.ID + "-" + strconv.Itoa(i+1)
		route.Prefix = "/" + a.ID + strings.TrimSuffix(r.Path, "/") + "/"
		route.Kind = Unsafe
		route.Public = r.Open
		if r.Idempotent {
			route.Kind, route.MaxAttempts = Safe, maxIdempotentAttempts
		}
		out = append(out, route)
	}
	return out
}
