package router

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

var streamCall = call{http.MethodPost, "/v1/chat/completions", testKey, streamBody, nil}

// last returns the error of a stream's last event, or code 0.
func last(t *testing.T, data string) code.BodyError {
	t.Helper()
	events := strings.Split(strings.TrimSpace(data), "\n\n")
	var body code.Body
	_ = json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &body)
	return body.Error
}

func abort() { panic(http.ErrAbortHandler) }

// TestBrokenStreams guards against a damaged stream that looks complete and
// against events of another request reaching the caller.
func TestBrokenStreams(t *testing.T) {
	for name, c := range map[string]struct {
		edit    func(seq int, line string) string
		want    code.Code
		started bool // events precede the error
	}{
		"cut": {func(seq int, line string) string {
			if seq == 4 {
				abort()
			}
			return line
		}, code.StreamTruncated, true},
		"ends early": {func(seq int, line string) string {
			return strings.Split(line, "id: 10\n")[0]
		}, code.StreamTruncated, true},
		"event lost": {func(seq int, line string) string {
			if seq == 4 {
				return ""
			}
			return line
		}, code.StreamTruncated, true},
		"crossed event": {func(seq int, line string) string {
			if seq == 4 {
				return "id: 4\ndata: {\"id\":\"other\",\"choices\":[]}\n\n"
			}
			return line
		}, code.AnswerMismatch, true},
		"crossed from the start": {func(seq int, line string) string {
			return strings.ReplaceAll(line, `"id":"`, `"id":"x`)
		}, code.AnswerMismatch, false},
		"event too long": {func(seq int, line string) string {
			if seq == 4 {
				return "id: 4\ndata: " + strings.Repeat("x", 1<<20) + "\n\n"
			}
			return line
		}, code.StreamTruncated, true},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &engineFake{words: 8, edit: c.edit}
			in := start(t, map[string][]http.Handler{"plume": {fake}}, nil)
			resp, _, data := in.do(t, streamCall)
			e := last(t, data)
			if !c.started {
				var body code.Body
				_ = json.Unmarshal([]byte(data), &body)
				e = body.Error
			}
			if e.ResultCode != c.want || strings.Contains(data, "[DONE]") {
				t.Errorf("last event %+v, want code %d; answer %.200s", e, c.want, data)
			}
			if started := resp.StatusCode == http.StatusOK; started != c.started {
				t.Errorf("status %d", resp.StatusCode)
			}
			if e.Run == code.NotRun || e.RequestID == "" {
				t.Errorf("run %q, request %q", e.Run, e.RequestID)
			}
			if taken, used := in.limiter.taken.Load(), in.limiter.used.Load(); taken != used {
				t.Errorf("%d of %d tokens were kept although the usage is unknown", used, taken)
			}
			if n := in.pools.open.Load(); n != 0 {
				t.Errorf("%d slots were not given back", n)
			}
		})
	}
}

// TestResume guards against a stream that is resumed with lost or repeated
// events, or at an engine that has restarted meanwhile.
func TestResume(t *testing.T) {
	for name, sameIncarnation := range map[string]bool{"same incarnation": true, "restarted": false} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64
			var after atomic.Value
			fake := &engineFake{words: 8}
			fake.seen = func(r *http.Request) { attempts.Add(1); after.Store(r.Header.Get(engine.HeaderResumeAfter)) }
			fake.edit = func(seq int, line string) string {
				if attempts.Load() == 1 && seq == 5 {
					abort()
				}
				return line
			}
			in := start(t, map[string][]http.Handler{"plume": {incarnations(fake, sameIncarnation)}}, nil)
			_, _, data := in.do(t, streamCall)
			if sameIncarnation && after.Load() != "4" {
				t.Errorf("resumed after %q, want 4", after.Load())
			}
			if !sameIncarnation {
				if e := last(t, data); e.ResultCode != code.StreamTruncated {
					t.Errorf("last event %+v", e)
				}
				return
			}
			var words []string
			for _, part := range strings.Split(data, `"content":"`)[1:] {
				word, _, _ := strings.Cut(part, " ")
				words = append(words, word)
			}
			if got := strings.Join(words, ""); got != "w1w2w3w4w5w6w7w8" || !strings.HasSuffix(data, "data: [DONE]\n\n") {
				t.Errorf("got %s", data)
			}
		})
	}
}

// incarnations lets the second request meet the same or another incarnation.
func incarnations(next http.Handler, same bool) http.Handler {
	var n atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 1 && !same {
			w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
			w.Header().Set(engine.HeaderIncarnation, "inc-2")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// TestRevokedDuringStream guards against an open stream that outlives its key
// and against an end that does not say why.
func TestRevokedDuringStream(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fake := &engineFake{words: 8, event: func(seq int, _ string) {
			if seq == 4 {
				<-r.Context().Done()
			}
		}}
		fake.ServeHTTP(w, r)
	})
	in := start(t, map[string][]http.Handler{"plume": {handler}}, nil)
	stream := in.open(t, streamCall)
	defer func() { _ = stream.Close() }()
	begin := make([]byte, 64) // the stream has begun
	if _, err := io.ReadFull(stream, begin); err != nil {
		t.Fatal(err)
	}
	in.state.revoke(testKey)
	rest, err := io.ReadAll(stream)
	if err != nil {
		t.Fatal(err)
	}
	if e := last(t, string(rest)); e.ResultCode != code.KeyRevoked || e.Run != code.Ran {
		t.Errorf("last event %+v", e)
	}
	if _, body, _ := in.do(t, streamCall); body.Error.ResultCode != code.KeyRevoked || body.Error.Run != code.NotRun {
		t.Errorf("after the revocation: %+v", body)
	}
}

// TestRepeatElsewhere guards against an attempt that is given up although
// nothing was sent, and against a call repeated that must not run twice.
func TestRepeatElsewhere(t *testing.T) {
	var ran atomic.Int64
	answer := &engineFake{words: 2, seen: func(*http.Request) { ran.Add(1) }}
	failing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1); abort() })
	in := start(t, map[string][]http.Handler{"plume": {failing, answer}, "atelier": {failing, answer}}, nil)
	if _, _, data := in.do(t, streamCall); !strings.HasSuffix(data, "data: [DONE]\n\n") || ran.Load() != 2 {
		t.Errorf("model request ran %d times: %s", ran.Load(), data)
	}
	ran.Store(0)
	order := call{http.MethodPost, "/atelier/orders", testKey, `{"order_no":"17"}`, nil}
	if _, body, _ := in.do(t, order); body.Error.Run != code.MayHaveRun || ran.Load() != 1 {
		t.Errorf("order ran %d times: %+v", ran.Load(), body)
	}
	ran.Store(0)
	in.pools.targets["atelier"][0].Addr = closedAddr(t)
	if resp, _, data := in.do(t, order); resp.StatusCode != http.StatusOK || ran.Load() != 1 {
		t.Errorf("order ran %d times after a refused connection: %s", ran.Load(), data)
	}
	in.pools.targets["plume"] = []chain.Target{{ID: "a", Addr: closedAddr(t)}}
	taken, used := in.limiter.taken.Load(), in.limiter.used.Load()
	_, body, _ := in.do(t, streamCall)
	if body.Error.ResultCode != code.UpstreamUnreachable || body.Error.Run != code.NotRun {
		t.Errorf("nothing sent: %+v", body)
	}
	if in.limiter.taken.Load() == taken || in.limiter.used.Load() != used {
		t.Error("the charge of a request that was never sent was not returned")
	}
}

// TestSlowReader guards against a stream that is buffered in the router while its
// caller does not read.
func TestSlowReader(t *testing.T) {
	const events, size = 400, 100 << 10
	var sent atomic.Int64
	fake := &engineFake{words: events, edit: func(seq int, line string) string {
		sent.Store(int64(seq))
		return strings.Replace(line, `"content":"`, `"content":"`+strings.Repeat("x", size), 1)
	}}
	in := start(t, map[string][]http.Handler{"plume": {fake}}, nil)
	before := memory()
	stream := in.open(t, streamCall)
	for last := int64(-1); last != sent.Load(); time.Sleep(100 * time.Millisecond) {
		last = sent.Load() // until the engine is held back
	}
	if n := sent.Load(); n > events {
		t.Errorf("the engine sent all %d events to a caller that reads nothing", n)
	}
	if grown := memory() - before; grown > 8<<20 {
		t.Errorf("%d bytes are held for a caller that reads nothing", grown)
	}
	data := readAll(&http.Response{Body: stream})
	if !strings.HasSuffix(data, "data: [DONE]\n\n") || len(data) < events*size {
		t.Errorf("got %d bytes without the end marker", len(data))
	}
}

// TestCutAnswer guards against a part of an answer that is not a stream reaching
// the caller.
func TestCutAnswer(t *testing.T) {
	cut := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		abort()
	})
	in := start(t, map[string][]http.Handler{"plume": {cut}, "atelier": {cut}}, nil)
	for _, c := range []call{
		{http.MethodPost, "/v1/chat/completions", testKey, goodBody, nil},
		{http.MethodGet, "/atelier/orders", testKey, "", nil},
	} {
		_, body, data := in.do(t, c)
		if body.Error.ResultCode != code.UpstreamFailed || body.Error.Run != code.MayHaveRun || strings.Contains(data, "half") {
			t.Errorf("%s: %s", c.path, data)
		}
	}
}

// TestEngineErrors guards against an engine's own error reaching the caller in
// another shape, and against a bad request being repeated at every engine.
func TestEngineErrors(t *testing.T) {
	for status, want := range map[int]code.Code{
		http.StatusBadRequest: code.BadRequest, http.StatusFound: code.UpstreamFailed, http.StatusInternalServerError: code.UpstreamFailed,
	} {
		var runs atomic.Int64
		failing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
			http.Error(w, "internals", status)
		})
		in := start(t, map[string][]http.Handler{"plume": {failing, failing}}, nil)
		_, body, data := in.do(t, streamCall)
		if body.Error.ResultCode != want || body.Error.Run != code.MayHaveRun || strings.Contains(data, "internals") {
			t.Errorf("status %d: %s", status, data)
		}
		if repeated := runs.Load() > 1; repeated == (want == code.BadRequest) {
			t.Errorf("status %d: %d attempts", status, runs.Load())
		}
	}
}

// TestRefusingEngine guards against an engine that answers that it takes no work
// being ejected like one that refuses connections, or being charged for.
func TestRefusingEngine(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		refusing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
			w.WriteHeader(status)
		})
		in := start(t, map[string][]http.Handler{"plume": {refusing, refusing, &engineFake{words: 2}}}, nil)
		if _, _, data := in.do(t, streamCall); !strings.HasSuffix(data, "data: [DONE]\n\n") {
			t.Errorf("status %d: %s", status, data)
		}
		want := []upstream.Result{upstream.Cancelled, upstream.Cancelled, upstream.OK}
		in.pools.mu.Lock()
		if !slices.Equal(in.pools.results, want) {
			t.Errorf("status %d: results %v, want %v", status, in.pools.results, want)
		}
		in.pools.mu.Unlock()
	}
}

func closedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
