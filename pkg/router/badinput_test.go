package router

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const goodBody = `{"model":"greeting-1","messages":[{"role":"user","content":"a greeting for the print run"}]}`

var streamBody = strings.Replace(goodBody, "{", `{"stream":true,`, 1)

type call struct {
	method, path, key, body string
	header                  http.Header
}

// do sends a call and returns response, error and body.
func (in *instance) do(t testing.TB, c call) (*http.Response, code.Body, string) {
	t.Helper()
	resp := in.send(t, c)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var body code.Body
	_ = json.Unmarshal(data, &body)
	return resp, body, string(data)
}

// open sends a call and returns the body to be read.
func (in *instance) open(t testing.TB, c call) io.ReadCloser {
	t.Helper()
	return in.send(t, c).Body
}

// readAll returns what can be read of a body.
func readAll(resp *http.Response) string {
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

func (in *instance) send(t testing.TB, c call) *http.Response {
	t.Helper()
	req, err := http.NewRequest(c.method, in.url+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestRefusals guards against bad input that is answered with another code than
// its own, that reaches an upstream or that is charged.
func TestRefusals(t *testing.T) {
	reached := func(*http.Request) { t.Error("a refused request reached an upstream") }
	in := start(t, map[string][]http.Handler{
		"plume": {&engineFake{seen: reached}}, "atelier": {&engineFake{seen: reached}},
	}, func(_ *Parts, o *Options) { o.Body.MaxBody = 1 << 10 })
	post := func(body string) call { return call{http.MethodPost, "/v1/chat/completions", testKey, body, nil} }
	chat := func(fields string) call { return post(strings.Replace(goodBody, "{", "{"+fields+",", 1)) }
	for name, c := range map[string]struct {
		call call
		want code.Code
	}{
		"body too large":        {post(strings.Repeat(" ", 2<<10) + goodBody), code.BodyTooLarge},
		"not JSON":              {post(`{"model":`), code.BadRequest},
		"JSON list":             {post(`[1]`), code.BadRequest},
		"no messages":           {post(`{"model":"greeting-1"}`), code.BadRequest},
		"several choices":       {chat(`"n":8`), code.BadRequest},
		"field in another case": {chat(`"Max_Tokens":1`), code.BadRequest},
		"field twice":           {chat(`"max_tokens":9,"max_tokens":1`), code.BadRequest},
		"escaped field twice":   {chat(`"max_tokens":9,"max_\u0074okens":1`), code.BadRequest},
		"content of numbers":    {post(`{"model":"greeting-1","messages":[{"role":"user","content":[1]}]}`), code.BadRequest},
		"image content":         {post(`{"model":"greeting-1","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`), code.BadRequest},
		"negative output":       {chat(`"max_tokens":-1`), code.BadRequest},
		"unknown model":         {post(strings.Replace(goodBody, "greeting-1", "greeting-2", 1)), code.UnknownModel},
		"model API with GET":    {call{http.MethodGet, "/v1/chat/completions", testKey, "", nil}, code.MethodNotAllowed},
		"service with PUT":      {call{http.MethodPut, "/atelier/orders", testKey, "", nil}, code.MethodNotAllowed},
		"unusual method":        {call{"BREW", "/atelier/orders", testKey, "", nil}, code.MethodNotAllowed},
		"unknown application":   {call{http.MethodGet, "/nothing", testKey, "", nil}, code.UnknownRoute},
		"path that climbs":      {call{http.MethodGet, "/atelier/status/../orders", "", "", nil}, code.KeyMissing},
		"escaped slash":         {call{http.MethodGet, "/atelier/status%2f..%2forders", "", "", nil}, code.KeyMissing},
		"prefix without border": {call{http.MethodGet, "/atelier/statusx", testKey, "", nil}, code.UnknownRoute},
		"no key":                {call{http.MethodPost, "/v1/chat/completions", "", goodBody, nil}, code.KeyMissing},
		"unknown key":           {call{http.MethodPost, "/v1/chat/completions", "x", goodBody, nil}, code.KeyUnknown},
		"not permitted":         {call{http.MethodGet, "/atelier/orders", otherKey, "", nil}, code.NotPermitted},
		"two order numbers":     {call{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"1"}`, http.Header{"Idempotency-Key": {"2"}}}, code.BadRequest},
		"order number twice":    {call{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"1","order_no":"2"}`, nil}, code.BadRequest},
		"no order number":       {call{http.MethodPost, "/atelier/orders", testKey, "{}", nil}, code.OrderKeyMissing},
	} {
		resp, body, _ := in.do(t, c.call)
		if got := body.Error.ResultCode; got != c.want || resp.StatusCode != c.want.Info().Status {
			t.Errorf("%s: got code %d, status %d; want code %d", name, got, resp.StatusCode, c.want)
		}
		if body.Error.Run != code.NotRun {
			t.Errorf("%s: run state %q", name, body.Error.Run)
		}
	}
	if n := in.limiter.taken.Load(); n != 0 {
		t.Errorf("%d tokens were charged for refused requests", n)
	}
}

// TestSlowAndBrokenClients guards against a body that never ends holding a
// request, and against body memory that is not given back.
func TestSlowAndBrokenClients(t *testing.T) {
	in := start(t, map[string][]http.Handler{"plume": {&engineFake{}}}, func(_ *Parts, o *Options) {
		o.Body.ReadTimeout = 30 * time.Millisecond
		o.Body.MemoryBudget = 3 * 16 << 10 // one small body with its copies
	})
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 100\r\n\r\n{"
	for name, leave := range map[string]bool{"slow": false, "broken": true} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(in.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, head); err != nil {
			t.Fatal(err)
		}
		if leave {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s client got no answer: %v", name, err)
		}
		if resp.StatusCode != code.BodyReadTimeout.Info().Status {
			t.Errorf("%s client: status %d", name, resp.StatusCode)
		}
		_ = conn.Close()
	}
	resp, _, _ := in.do(t, call{http.MethodPost, "/v1/chat/completions", testKey, goodBody, nil})
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d after broken bodies, want 200", resp.StatusCode)
	}
	_, body, _ := in.do(t, call{http.MethodPost, "/v1/chat/completions", testKey, strings.Repeat(" ", 20<<10) + goodBody, nil})
	if body.Error.ResultCode != code.QueueFull {
		t.Errorf("a body beyond the memory budget: code %d, want %d", body.Error.ResultCode, code.QueueFull)
	}
}

// TestForgedHeaders guards against a caller's key, cookie or internal headers
// reaching an upstream, and against the caller's values replacing the router's.
func TestForgedHeaders(t *testing.T) {
	var last atomic.Pointer[http.Header]
	fake := &engineFake{seen: func(r *http.Request) { h := r.Header.Clone(); last.Store(&h) }}
	in := start(t, map[string][]http.Handler{"plume": {fake}, "atelier": {fake}}, nil)
	forged := http.Header{"Cookie": {"a=b"}, "X-Api-Key": {testKey}, "X-Copy": {"Bearer " + testKey}, "X-Shop": {"7"}}
	for _, name := range []string{
		engine.HeaderRequestID, engine.HeaderCacheSalt, engine.HeaderAdapter, engine.HeaderWeightsVersion,
		engine.HeaderPriority, engine.HeaderDeadline, engine.HeaderFencingToken, engine.HeaderResumeAfter,
	} {
		forged.Set(name, "forged")
	}
	for _, c := range []call{
		{http.MethodPost, "/v1/chat/completions", testKey, goodBody, forged},
		{http.MethodGet, "/atelier/orders", testKey, "", forged},
		{http.MethodGet, "/atelier/status", testKey, "", forged},
		{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"1"}`, forged},
	} {
		if resp, _, data := in.do(t, c); resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: status %d: %s", c.path, resp.StatusCode, data)
		}
		seen := *last.Load()
		if all := fmt.Sprint(seen); strings.Contains(all, testKey) || strings.Contains(all, "forged") || strings.Contains(all, "a=b") {
			t.Errorf("%s: the upstream saw %v", c.path, seen)
		}
		if c.path == "/v1/chat/completions" && seen.Get(engine.HeaderCacheSalt) != "scope-mairie" {
			t.Errorf("cache salt %q", seen.Get(engine.HeaderCacheSalt))
		}
		if c.path == "/atelier/orders" && seen.Get("X-Shop") != "7" {
			t.Error("a header for the service was dropped")
		}
		if c.body != "" && seen.Get("Accept-Encoding") != "" {
			t.Error("an answer that is recorded may be encoded")
		}
	}
}

// TestFreshness guards against keyed requests served with unconfirmed keys and
// against open routes that stop with them.
func TestFreshness(t *testing.T) {
	in := start(t, map[string][]http.Handler{"plume": {&engineFake{}}, "atelier": {&engineFake{}}}, nil)
	in.state.stale.Store(true)
	resp, body, _ := in.do(t, call{http.MethodPost, "/v1/chat/completions", testKey, goodBody, nil})
	if body.Error.ResultCode != code.NotFresh || body.Error.Run != code.NotRun || resp.Header.Get("Retry-After") != "1" {
		t.Errorf("got %+v, Retry-After %q", body, resp.Header.Get("Retry-After"))
	}
	for _, c := range []call{
		{http.MethodPost, "/v1/chat/completions", otherKey, goodBody, nil}, // serve_last_known
		{http.MethodGet, "/atelier/status", "", "", nil},
	} {
		if resp, _, data := in.do(t, c); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d: %s", c.path, resp.StatusCode, data)
		}
	}
}
