package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
)

// streamConfig returns a configuration with routes for streams that may be resumed, each a
// prefix and the services that it leads to.
func streamConfig(routes ...[]string) *routing.Snapshot {
	var c routing.Config
	for _, r := range routes {
		route := routing.Route{Host: "h", Prefix: r[0], Kind: routing.Stream, Resumable: true}
		for _, name := range r[1:] {
			route.Split = append(route.Split, routing.WeightedService{Service: name, Weight: 1})
		}
		c.Routes = append(c.Routes, route)
	}
	return routing.New(c)
}

// TestChangesOfRoutesAreNoticed guards against a stream that is taken for one of the service to which its path leads now, though it led to another when the stream began.
func TestChangesOfRoutesAreNoticed(t *testing.T) {
	type configs []*routing.Snapshot
	for name, c := range map[string]struct {
		configs configs
		want    streamversion.Routes // after the last one
	}{
		"no change":           {configs{streamConfig([]string{"/x/", "a"}), streamConfig([]string{"/x/", "a"})}, streamversion.Routes{}},
		"split":               {configs{streamConfig([]string{"/x/", "a"}), streamConfig([]string{"/x/", "a", "b"})}, streamversion.Routes{Shared: [][]string{{"a", "b"}}}},
		"split that ends":     {configs{streamConfig([]string{"/x/", "a", "b"}), streamConfig([]string{"/x/", "a"})}, streamversion.Routes{Moved: [][]string{{"a", "b", "a"}}}},
		"moved":               {configs{streamConfig([]string{"/x/", "a"}), streamConfig([]string{"/x/", "b"})}, streamversion.Routes{Moved: [][]string{{"a", "b"}}}},
		"longer prefix added": {configs{streamConfig([]string{"/x/", "a"}), streamConfig([]string{"/x/", "a"}, []string{"/x/y/", "b"})}, streamversion.Routes{Moved: [][]string{{"a", "b"}}}},
		"longer prefix removed": {
			configs{streamConfig([]string{"/x/", "a"}, []string{"/x/y/", "b"}), streamConfig([]string{"/x/", "a"})},
			streamversion.Routes{Moved: [][]string{{"b", "a"}}},
		},
		"removed":                {configs{streamConfig([]string{"/x/", "a"}), streamConfig()}, streamversion.Routes{}},
		"removed and added":      {configs{streamConfig([]string{"/x/", "a"}), streamConfig(), streamConfig([]string{"/x/", "b"})}, streamversion.Routes{Moved: [][]string{{"a", "b"}}}},
		"removed and added back": {configs{streamConfig([]string{"/x/", "a"}), streamConfig(), streamConfig([]string{"/x/", "a"})}, streamversion.Routes{}},
	} {
		r, got := newStreamRoutes(), streamversion.Routes{}
		for _, config := range c.configs {
			got = r.change(config, time.Unix(1000, 0))
		}
		if diff := cmp.Diff(c.want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", name, diff)
		}
	}
}
