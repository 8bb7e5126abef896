package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/filter/ratelimit"
	"github.com/fescuestep/fescuestep/pkg/order"
)

// TestStreamEndsWithoutConfirmation guards against a stream that outlives a
// revocation on an instance that is cut off and cannot learn of it, and against
// the end of streams whose customer is served by the last known configuration.
func TestStreamEndsWithoutConfirmation(t *testing.T) {
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fake := &engineFake{words: 8, event: func(seq int, _ string) {
			if seq == 4 {
				select {
				case <-r.Context().Done():
				case <-release:
				}
			}
		}}
		fake.ServeHTTP(w, r)
	})
	in := start(t, map[string][]http.Handler{"plume": {handler}}, nil)
	strict := in.open(t, streamCall)
	lenient := in.open(t, call{http.MethodPost, "/v1/chat/completions", otherKey, streamBody, nil})
	begin := make([]byte, 64) // both streams have begun
	for _, s := range []io.Reader{strict, lenient} {
		if _, err := io.ReadFull(s, begin); err != nil {
			t.Fatal(err)
		}
	}
	in.state.stale.Store(true)
	data := readAll(&http.Response{Body: strict})
	if e := last(t, data); e.ResultCode != code.NotFresh || e.Run != code.Ran {
		t.Errorf("last event %+v", e)
	}
	close(release)
	if data := readAll(&http.Response{Body: lenient}); !strings.HasSuffix(data, "data: [DONE]\n\n") {
		t.Errorf("serve_last_known: %s", data)
	}
}

// lateOrders claims for a while before it sends.
type lateOrders struct{ claim func() }

func (o lateOrders) Do(ctx context.Context, q order.Request, send func(context.Context) order.Outcome) (*chain.Response, error) {
	o.claim()
	return directOrders{}.Do(ctx, q, send)
}

// TestOrderWithdrawnBeforeSending guards against an order that is sent seconds
// after its key was revoked, or without confirmed keys, because its claim took
// long, and against an answer other than "not run".
func TestOrderWithdrawnBeforeSending(t *testing.T) {
	for name, c := range map[string]struct {
		during func(in *instance)
		want   code.Code
	}{
		"revoked":   {func(in *instance) { in.state.revoke(testKey) }, code.KeyRevoked},
		"not fresh": {func(in *instance) { in.state.stale.Store(true) }, code.NotFresh},
	} {
		t.Run(name, func(t *testing.T) {
			record := &seen{next: &engineFake{}}
			var in *instance
			in = start(t, map[string][]http.Handler{"atelier": {record}}, func(p *Parts, _ *Options) {
				p.Orders = lateOrders{func() { c.during(in) }}
			})
			resp := in.send(t, call{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"5"}`, nil})
			var body code.Body
			_ = json.Unmarshal([]byte(readAll(resp)), &body)
			if body.Error.ResultCode != c.want || body.Error.Run != code.NotRun {
				t.Errorf("got %+v, want code %d, not_run", body.Error, c.want)
			}
			if len(record.requests()) > 0 {
				t.Error("the order was sent")
			}
			if n := in.pools.open.Load(); n != 0 {
				t.Errorf("%d slots were not given back", n)
			}
		})
	}
}

// blockedLimiter has no tokens and tells when a request waits for them.
type blockedLimiter struct{ waits chan struct{} }

func (l blockedLimiter) Take(ctx context.Context, _ *config.Customer, _ int) (ratelimit.Charge, error) {
	close(l.waits)
	<-ctx.Done()
	return nil, code.New(code.DeadlineUnreachable, "the wait for quota ended").WithCause(ctx.Err())
}

// TestRevokedWhileWaitingForQuota guards against a request that goes on waiting
// after its key was revoked, or whose answer names the wait as the reason.
func TestRevokedWhileWaitingForQuota(t *testing.T) {
	l := blockedLimiter{make(chan struct{})}
	in := start(t, map[string][]http.Handler{"plume": {&engineFake{}}}, func(p *Parts, _ *Options) { p.Limiter = l })
	go func() {
		<-l.waits
		in.state.revoke(testKey)
	}()
	if _, body, _ := in.do(t, streamCall); body.Error.ResultCode != code.KeyRevoked || body.Error.Run != code.NotRun {
		t.Errorf("got %+v, want key_revoked, not_run", body.Error)
	}
}
