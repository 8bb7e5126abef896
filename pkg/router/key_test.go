package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// seen records every request as an upstream received it.
type seen struct {
	mu   sync.Mutex
	next http.Handler
	all  []string
}

func (s *seen) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dump, _ := httputil.DumpRequest(r, true)
	s.mu.Lock()
	s.all = append(s.all, string(dump)+fmt.Sprint(r.Trailer))
	s.mu.Unlock()
	s.next.ServeHTTP(w, r)
}

func (s *seen) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.all...)
}

// TestKeyNeverReachesUpstream guards against a key, cookie or forged internal
// header that reaches an upstream by a path other than the plain one: a stream,
// a repeat after a failure, a resumed stream, an order or an open route.
func TestKeyNeverReachesUpstream(t *testing.T) {
	forged := http.Header{"Cookie": {"secret-cookie=1"}, "X-Api-Key": {testKey}, "X-Copy": {"key " + testKey}, "Proxy-Authorization": {"Basic " + testKey}}
	for _, name := range []string{engine.HeaderFencingToken, engine.HeaderResumeAfter, engine.HeaderCacheSalt, engine.HeaderRequestID, engine.HeaderAdapter} {
		forged.Set(name, "forged")
	}
	var attempts atomic.Int64
	cutOnce := func(seq int, line string) string {
		if seq == 3 && attempts.Add(1) == 1 {
			abort()
		}
		return line
	}
	failing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { abort() })
	for name, c := range map[string]struct {
		call      call
		upstreams []http.Handler
		requests  int // that upstreams receive
	}{
		"stream":  {call{http.MethodPost, "/v1/chat/completions", testKey, streamBody, forged}, []http.Handler{&engineFake{words: 3}}, 1},
		"repeat":  {call{http.MethodPost, "/v1/chat/completions", testKey, streamBody, forged}, []http.Handler{failing, &engineFake{words: 3}}, 2},
		"resume":  {call{http.MethodPost, "/v1/chat/completions", testKey, streamBody, forged}, []http.Handler{&engineFake{words: 5, edit: cutOnce}}, 2},
		"order":   {call{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"9"}`, forged}, []http.Handler{&engineFake{}}, 1},
		"service": {call{http.MethodGet, "/atelier/orders", testKey, "", forged}, []http.Handler{failing, &engineFake{}}, 2},
		"open":    {call{http.MethodGet, "/atelier/status", testKey, "", forged}, []http.Handler{&engineFake{}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var records []*seen
			var handlers []http.Handler
			for _, h := range c.upstreams {
				records = append(records, &seen{next: h})
				handlers = append(handlers, records[len(records)-1])
			}
			in := start(t, map[string][]http.Handler{"plume": handlers, "atelier": handlers}, nil)
			if resp, _, data := in.do(t, c.call); resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d: %s", resp.StatusCode, data)
			}
			n := 0
			for _, s := range records {
				for _, dump := range s.requests() {
					n++
					for _, private := range []string{testKey, "secret-cookie", "forged"} {
						if strings.Contains(dump, private) {
							t.Errorf("an upstream received %q:\n%s", private, dump)
						}
					}
				}
			}
			if n != c.requests {
				t.Errorf("%d requests reached upstreams, want %d", n, c.requests)
			}
		})
	}
}

// TestKeyCopiesRefused guards against a key that reaches an upstream because
// the caller repeats it in the path, the query or the body.
func TestKeyCopiesRefused(t *testing.T) {
	record := &seen{next: &engineFake{}}
	in := start(t, map[string][]http.Handler{"plume": {record}, "atelier": {record}}, nil)
	escaped := strings.ReplaceAll(url.QueryEscape(testKey), "f", "%66")
	for _, c := range []call{
		{http.MethodGet, "/atelier/orders?key=" + testKey, testKey, "", nil},
		{http.MethodGet, "/atelier/orders?key=" + escaped, testKey, "", nil},
		{http.MethodGet, "/atelier/status/" + testKey, testKey, "", nil},
		{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"1","key":"` + testKey + `"}`, nil},
		{http.MethodPost, "/v1/chat/completions", testKey, strings.Replace(goodBody, "greeting for", testKey, 1), nil},
	} {
		if _, body, data := in.do(t, c); body.Error.ResultCode != code.BadRequest || body.Error.Run != code.NotRun || strings.Contains(data, testKey) {
			t.Errorf("%s: got %s", c.path, data)
		}
	}
	if all := record.requests(); len(all) > 0 {
		t.Errorf("an upstream received %s", all[0])
	}
}

// TestAnswersOutOfOrder guards against answers that reach another caller, and
// requests that run for another customer, when an upstream answers concurrent
// requests late and in reverse order on kept connections.
func TestAnswersOutOfOrder(t *testing.T) {
	const callers, rounds = 8, 20
	var mu sync.Mutex
	var waiting []chan struct{}
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		turn := make(chan struct{})
		mu.Lock()
		waiting = append(waiting, turn)
		if len(waiting) == callers {
			go release(waiting)
			waiting = nil
		}
		mu.Unlock()
		<-turn
		_, mark, _ := strings.Cut(string(body), "mark-")
		mark, _, _ = strings.Cut(mark, ".")
		id := r.Header.Get(engine.HeaderRequestID)
		w.Header().Set(engine.HeaderRequestID, id)
		fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"content":"mark-%s for %s"}}],"usage":{"prompt_tokens":1}}`, id, mark, r.Header.Get(engine.HeaderCacheSalt))
	})
	in := start(t, map[string][]http.Handler{"plume": {echo}}, nil)
	customers := []struct{ key, scope string }{{testKey, "scope-mairie"}, {otherKey, "scope-other"}}
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				customer := customers[(i+round)%2]
				body := fmt.Sprintf(`{"model":"greeting-1","messages":[{"role":"user","content":"mark-%d-%d."}]}`, round, i)
				_, _, data := in.do(t, call{http.MethodPost, "/v1/chat/completions", customer.key, body, nil})
				if want := fmt.Sprintf("mark-%d-%d for %s", round, i, customer.scope); !strings.Contains(data, want) {
					t.Errorf("got %s, want %s", data, want)
				}
			})
		}
		wg.Wait()
	}
}

// release answers the last request first.
func release(turns []chan struct{}) {
	for i := range turns {
		close(turns[len(turns)-1-i])
	}
}
