package hostroute

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// statedVersion is a decoder for which every request states a version.
type statedVersion uint64

func (v statedVersion) DecodeRequest(http.Header) call.Request {
	return call.Request{ID: "r1", ConfigVersion: uint64(v)}
}

func snapshot(version uint64) *routing.Snapshot {
	return routing.New(routing.Config{Version: version, Routes: []routing.Route{{Name: "r", Host: "a.example", Prefix: "/"}}})
}

// TestForwardedRequestWaitsForItsConfiguration guards against a forwarded request that is refused, or handled by an older configuration, where the newer one can be read, and against callers that make an instance read it.
func TestForwardedRequestWaitsForItsConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		forwarded      bool
		held, store    uint64
		handled, reads int // by which version; 0: refused
	}{
		"as new":             {true, 7, 7, 7, 0},
		"newer":              {true, 8, 8, 8, 0},
		"older, store newer": {true, 5, 7, 7, 1},
		"older, store older": {true, 5, 6, 0, 1},
		"caller's own claim": {false, 5, 7, 5, 0},
	} {
		held, reads, handled := snapshot(c.held), 0, 0
		f := New(statedVersion(7), func() *routing.Snapshot { return held }, func(context.Context) {
			reads++
			held = snapshot(c.store)
		})
		r := &chain.Request{HTTP: httptest.NewRequest(http.MethodGet, "/1", nil), Forwarded: c.forwarded}
		r.HTTP.Host = "a.example"
		err := f.Wrap(func(_ context.Context, r *chain.Request) error {
			handled = int(r.Edge.Routing.Version)
			return nil
		})(t.Context(), r)
		var refusal *code.Error
		if c.handled == 0 && (!errors.As(err, &refusal) || refusal.Run != code.NotRun) {
			t.Errorf("%s: want a refusal that says not run, got %v", name, err)
		}
		if handled != c.handled || reads != c.reads {
			t.Errorf("%s: handled by version %d after %d reads, want %d after %d", name, handled, reads, c.handled, c.reads)
		}
	}
}
