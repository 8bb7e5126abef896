package admin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/examples"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/keys"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

var ctx = context.Background()

// TestRevokeTellsTheTruth guards against a revocation that is reported as in
// force while an instance may still honour the key.
func TestRevokeTellsTheTruth(t *testing.T) {
	down := errors.New("table down")
	for _, c := range []struct {
		name     string
		customer string
		progress func(elapsed time.Duration) (bool, []string, error)
		inForce  bool
		pending  []string
		waits    bool // until the bound
	}{
		{"all confirmed", "shops", func(time.Duration) (bool, []string, error) { return true, nil, nil }, true, nil, false},
		{"confirmed late", "shops", func(d time.Duration) (bool, []string, error) { return d >= time.Second, nil, nil }, true, nil, false},
		{"one cut off, window expired", "shops", func(time.Duration) (bool, []string, error) { return true, []string{"r2"}, nil }, true, []string{"r2"}, false},
		{"one cut off that serves last known", "web-shop", func(time.Duration) (bool, []string, error) { return true, []string{"r2"}, nil }, false, []string{"r2"}, true},
		{"two not confirmed", "shops", func(time.Duration) (bool, []string, error) { return false, []string{"r2", "r1"}, nil }, false, []string{"r1", "r2"}, true},
		{"progress unknown", "shops", func(time.Duration) (bool, []string, error) { return false, nil, down }, false, nil, true},
		{"accepted, then unknown", "web-shop", func(d time.Duration) (bool, []string, error) {
			if d < time.Second {
				return true, []string{"r2"}, nil
			}
			return true, nil, down
		}, false, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				s := newService(f, nil)
				created, err := s.CreateKey(ctx, &admin.CreateKeyRequest{Customer: c.customer})
				if err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				f.progress = func() (bool, []string, error) { return c.progress(time.Since(start)) }
				resp, err := s.RevokeKey(ctx, &admin.RevokeKeyRequest{Id: created.Key.Id})
				if err != nil {
					t.Fatal(err)
				}
				st := resp.Status
				if st.InForce != c.inForce || cmp.Diff(c.pending, st.Unconfirmed) != "" || st.Revision != 9 || st.Explanation == "" {
					t.Errorf("status %v", st)
				}
				if waited := time.Since(start) >= s.o.Wait; waited != c.waits {
					t.Errorf("waited for the bound: %v", waited)
				}
				if k := keys.Lookup(f.Snapshot(), created.Secret); k == nil || !k.Revoked {
					t.Errorf("key %+v is not revoked", k)
				}
			})
		})
	}
}

// TestRevokeAgain guards against a second revision for a key that is revoked
// already, and against an answer that skips the check of the first one.
func TestRevokeAgain(t *testing.T) {
	f := newFleet(t)
	s := newService(f, nil)
	created, _ := s.CreateKey(ctx, &admin.CreateKeyRequest{Customer: "shops", Team: "rennes-counter"})
	for i := range 2 {
		resp, err := s.RevokeKey(ctx, &admin.RevokeKeyRequest{Id: created.Key.Id})
		if err != nil || resp.Unchanged != (i == 1) || resp.Status.Revision != 9 || !resp.Status.InForce {
			t.Errorf("attempt %d: %v, %v", i, resp, err)
		}
	}
	if _, err := s.RevokeKey(ctx, &admin.RevokeKeyRequest{Id: "key-0"}); errorCode(err) != twirp.NotFound {
		t.Errorf("unknown key: %v", err)
	}
}

func errorCode(err error) twirp.ErrorCode {
	var te twirp.Error
	if errors.As(err, &te) {
		return te.Code()
	}
	return twirp.NoError
}

// TestCreateKey guards against keys for customers or teams that don't exist,
// several keys after a conflict, and secrets in the log or the list.
func TestCreateKey(t *testing.T) {
	f := newFleet(t)
	f.conflicts = 3
	var log bytes.Buffer
	s := newService(f, &log)
	created, err := s.CreateKey(ctx, &admin.CreateKeyRequest{Customer: "shops"})
	if err != nil || keys.Lookup(f.Snapshot(), created.Secret).Customer != "shops" {
		t.Fatalf("%v, %v", created, err)
	}
	list, _ := s.ListKeys(ctx, &admin.ListKeysRequest{Customer: "shops"})
	if len(list.Keys) != 1 || list.Keys[0].Id != created.Key.Id {
		t.Errorf("keys %v", list.Keys)
	}
	if out := log.String() + list.String(); !strings.Contains(out, created.Key.Id) || strings.Contains(out, created.Secret) {
		t.Errorf("log and list: %s", out)
	}
	for _, req := range []*admin.CreateKeyRequest{{}, {Customer: "shop"}, {Customer: "shops", Team: "rennes"}} {
		if _, err := s.CreateKey(ctx, req); errorCode(err) != twirp.InvalidArgument {
			t.Errorf("%v: %v", req, err)
		}
	}
}

// TestProposeErrors guards against an answer that denies a change which may
// have been made.
func TestProposeErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{errors.Wrap(external.ErrUnavailable, "commit"), "nothing was changed"},
		{external.ErrConflict, "nothing was changed"},
		{external.ErrOutcomeUnknown, "may have been made"},
		{context.DeadlineExceeded, "may have been made"},
		{errors.New("other"), "may have been made"},
		{errors.Mark(twirp.Internal.Error("dial"), external.ErrUnavailable), "nothing was changed"},
		{errors.Wrap(twirp.Internal.Error("dial"), "read head"), "may have been made"},
	} {
		f := newFleet(t)
		f.err = c.err
		_, err := newService(f, nil).CreateKey(ctx, &admin.CreateKeyRequest{Customer: "shops"})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: answer %v", c.err, err)
		}
	}
}

// TestApply guards against a configuration that changes despite mistakes, a
// new revision without a change, and keys that stop working unannounced.
func TestApply(t *testing.T) {
	f := newFleet(t)
	s := newService(f, nil)
	text := string(examples.UCAB)
	apply := func(text string) *admin.ApplyResponse {
		t.Helper()
		resp, err := s.Apply(ctx, &admin.ApplyRequest{Questionnaire: text})
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if resp := apply(text); !resp.Unchanged || resp.Status.Revision != 7 {
		t.Errorf("same again: %v", resp)
	}
	wrong := strings.Replace(text, "region: armor", "regoin: armor", 1)
	if resp := apply(wrong); len(resp.Mistakes) != 1 || resp.Mistakes[0].Line != 8 || resp.Status != nil || f.Snapshot().Revision != 7 {
		t.Errorf("with a mistake: %v", resp)
	}
	copied := strings.Replace(text, "deployment: ucab", "deployment: copy", 1)
	if resp := apply(copied); len(resp.Mistakes) == 0 || f.Snapshot().Revision != 7 {
		t.Errorf("names of another deployment: %v", resp)
	}
	if _, err := s.CreateKey(ctx, &admin.CreateKeyRequest{Customer: "web-shop"}); err != nil {
		t.Fatal(err)
	}
	renamed := apply(strings.Replace(text, "id: web-shop", "id: shop-on-the-web", 1))
	want := []string{"customer web-shop is gone; 1 of its keys no longer work and are not revoked"}
	if cmp.Diff(want, renamed.Notices) != "" || renamed.Status.Revision != 9 || !renamed.Status.InForce {
		t.Errorf("with a customer renamed: %v", renamed)
	}
}

// TestOrdersAndUpstreams guards against lists out of order or unbounded and
// findings that are guessed or recorded twice.
func TestOrdersAndUpstreams(t *testing.T) {
	f := newFleet(t)
	s := newService(f, nil)
	ups, _ := s.Upstreams(ctx, &admin.UpstreamsRequest{Pool: "plume"})
	if len(ups.Upstreams) != 2 || ups.Upstreams[0].Id != "u1" || ups.Upstreams[0].State != "ejected" || ups.Upstreams[1].QueueWaitMs != 1500 {
		t.Errorf("upstreams %v", ups)
	}
	page, err := s.UnresolvedOrders(ctx, &admin.UnresolvedOrdersRequest{Limit: 1})
	if err != nil || len(page.Orders) != 1 || page.Orders[0].Reference != "o1" {
		t.Errorf("orders %v, %v", page, err)
	}
	if _, err := s.UnresolvedOrders(ctx, &admin.UnresolvedOrdersRequest{Limit: 1e6}); errorCode(err) != twirp.InvalidArgument {
		t.Errorf("page too large: %v", err)
	}
	for _, c := range []struct {
		req  *admin.ResolveOrderRequest
		want twirp.ErrorCode
	}{
		{&admin.ResolveOrderRequest{Reference: "o1", By: "ana"}, twirp.InvalidArgument},
		{&admin.ResolveOrderRequest{Finding: admin.Finding_RAN, By: "ana"}, twirp.InvalidArgument},
		{&admin.ResolveOrderRequest{Reference: "o1", Finding: admin.Finding_RAN}, twirp.InvalidArgument},
		{&admin.ResolveOrderRequest{Reference: "o1", Finding: admin.Finding_DID_NOT_RUN, By: "ana"}, twirp.NoError},
		{&admin.ResolveOrderRequest{Reference: "o1", Finding: admin.Finding_RAN, By: "ana"}, twirp.FailedPrecondition},
		{&admin.ResolveOrderRequest{Reference: "o4", Finding: admin.Finding_RAN, By: "ana"}, twirp.NotFound},
	} {
		if _, err := s.ResolveOrder(ctx, c.req); errorCode(err) != c.want {
			t.Errorf("%v: %v", c.req, err)
		}
	}
	if f.resolved["o1"] {
		t.Error("the finding was recorded as its opposite")
	}
}

// TestHandler guards against calls without the credential and against JSON
// that curl can't use.
func TestHandler(t *testing.T) {
	server := httptest.NewServer(Handler(newService(newFleet(t), nil), "0123456789abcdef"))
	defer server.Close()
	post := func(authorization, body string) (int, string) {
		req, _ := http.NewRequest(http.MethodPost, server.URL+"/twirp/fescuestep.admin.Admin/Revision", strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Authorization", authorization)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var out bytes.Buffer
		_, _ = out.ReadFrom(resp.Body)
		return resp.StatusCode, out.String()
	}
	for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer 0123456789abcde", "Bearer 0123456789abcdef0", "Basic 0123456789abcdef", "0123456789abcdef"} {
		if status, body := post(authorization, "{}"); status != http.StatusUnauthorized || strings.Contains(body, "revision") {
			t.Errorf("%q: %d %s", authorization, status, body)
		}
	}
	if status, body := post("Bearer 0123456789abcdef", "{}"); status != http.StatusOK || !strings.Contains(body, `"in_force":true`) {
		t.Errorf("with the credential: %d %s", status, body)
	}
	if status, _ := post("Bearer 0123456789abcdef", strings.Repeat(" ", maxBody+1)); status == http.StatusOK {
		t.Error("a body beyond the limit was accepted")
	}
}

// TestBadInput guards against malformed calls that change something, end in a
// server error or stop the service.
func TestBadInput(t *testing.T) {
	f := newFleet(t)
	server := httptest.NewServer(Handler(newService(f, nil), "0123456789abcdef"))
	defer server.Close()
	for _, c := range []struct{ path, contentType, body string }{
		{"Apply", "application/json", "{"},
		{"Apply", "application/json", `{"questionnaire": 7}`},
		{"Apply", "application/json", `{"questionnaire": "\ud800"}`},
		{"Apply", "application/protobuf", "\xff\xff\xff"},
		{"Apply", "text/plain", "{}"},
		{"CreateKey", "application/json", `{"customer": "shops", "team": "` + strings.Repeat("x", 1<<20) + `"}`},
		{"RevokeKey", "application/json", "[]"},
		{"ResolveOrder", "application/json", `{"reference": "o1", "by": "ana", "finding": "MAYBE"}`},
		{"ResolveOrder", "application/json", `{"reference": "o1", "by": "ana", "finding": 99}`},
		{"UnresolvedOrders", "application/json", `{"limit": -1}`},
		{"Nothing", "application/json", "{}"},
	} {
		req, _ := http.NewRequest(http.MethodPost, server.URL+"/twirp/fescuestep.admin.Admin/"+c.path, strings.NewReader(c.body))
		req.Header.Set("Content-Type", c.contentType)
		req.Header.Set("Authorization", "Bearer 0123456789abcdef")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode < 400 || resp.StatusCode >= 500 {
			t.Errorf("%s %.60q: status %d", c.path, c.body, resp.StatusCode)
		}
	}
	if f.Snapshot().Revision != 7 || len(f.resolved) != 0 {
		t.Errorf("revision %d, resolved %v", f.Snapshot().Revision, f.resolved)
	}
}
