package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// unfinished are responses that stop before their end, by what they are made of.
var unfinished = map[string]func(r *http.Request) string{
	"many short fields": func(r *http.Request) string { return head(r) + shortFields(60<<10) },
	"one long field":    func(r *http.Request) string { return head(r) + "X-Noise: " + strings.Repeat("n", 60<<10) },
	"interim responses": func(r *http.Request) string {
		return strings.Repeat("HTTP/1.1 102 Processing\r\nX-Noise: n\r\n\r\n", 1500)
	},
	"trailers": func(r *http.Request) string {
		return head(r) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + shortFields(60<<10)
	},
	"chunk extensions": func(r *http.Request) string {
		return head(r) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", 20)
	},
	"announced body": func(r *http.Request) string { return head(r) + "Content-Length: 8000000\r\n\r\nx" },
	"begun body": func(r *http.Request) string {
		return head(r) + "Content-Length: 8000000\r\n\r\n" + strings.Repeat("x", 60<<10)
	},
	"body without length": func(r *http.Request) string { return head(r) + "\r\n" + strings.Repeat("x", 60<<10) },
	"event": func(r *http.Request) string {
		return head(r) + "Content-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", 250<<10)
	},
}

// shortFields returns header fields with names of their own, of so many bytes together.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// answerUnfinished answers with text, and keeps the connection open for a while.
func answerUnfinished(text func(r *http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hijack(w, func(out *bufio.Writer) error {
			_, _ = out.WriteString(text(r))
			_ = out.Flush()
			time.Sleep(1500 * time.Millisecond)
			return nil
		})
	}
}

// TestManyUnfinishedAnswersLeaveRoomForOthers guards against answers within their own bounds that together use up the memory of an instance, or the part of it that other answers need.
func TestManyUnfinishedAnswersLeaveRoomForOthers(t *testing.T) {
	const (
		faulty    = 300
		ordinary  = 10
		heapBound = 96 << 20 // of 128 MB, with the test's own part
	)
	defer debug.SetGCPercent(debug.SetGCPercent(40)) // as the process sets it
	fleet := newTestFleet(t, 1)
	upstream := fleet.startUpstream(standin.Options{ID: "f0", Service: "faulty", Zone: "z1", Slots: 2 * faulty})
	fleet.config.Services = append(fleet.config.Services, routing.Service{Name: "faulty", ConnLimit: 2 * faulty})
	for path, kind := range map[string]routing.Kind{"/whole/": routing.Unsafe, "/stream/": routing.Stream} {
		fleet.config.Routes = append(fleet.config.Routes, routing.Route{
			Name: path, Host: "a.example", Prefix: path, Kind: kind, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: "faulty", Weight: 1}}, Timeout: 5 * time.Second,
		})
	}
	fleet.applyConfig()
	instance := fleet.startInstance("n1")
	for name, answer := range unfinished {
		for _, path := range []string{"/whole/", "/stream/"} {
			upstream.SetHandler(nil)
			fleet.await("the upstream is used again", func() bool {
				_, got := instance.request(http.MethodPost, "/whole/", keyBig, "x")
				return got.status == http.StatusOK
			})
			upstream.SetHandler(answerUnfinished(answer))
			served, reached := 0, received(upstream)
			runtime.GC()
			peak := peakHeap(func() {
				var callers sync.WaitGroup
				for range faulty {
					callers.Go(func() { instance.request(http.MethodPost, path, keyBig, "x", "Deadline-Ms", "2000") })
				}
				time.Sleep(700 * time.Millisecond)
				for range ordinary {
					if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status == http.StatusOK {
						served++
					}
				}
				callers.Wait()
			})
			reached = received(upstream) - reached
			t.Logf("%s to %s: %d answers, heap of %d MB, %d of %d other requests served", name, path, reached, peak>>20, served, ordinary)
			if peak > heapBound || served < ordinary {
				t.Errorf("%s to %s: heap of %d MB, %d of %d other requests served", name, path, peak>>20, served, ordinary)
			}
		}
	}
}
