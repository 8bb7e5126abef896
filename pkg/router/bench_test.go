package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/filter/route"
)

// longBody is a request with a prompt of about 8,000 tokens in 4 blocks.
var longBody = strings.Replace(goodBody, "a greeting", strings.Repeat("family history ", 2133)+"a greeting", 1)

func post(b testing.TB, c *http.Client, url, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url+route.ChatPath, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(engine.HeaderRequestID, "direct")
	resp, err := c.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp, err)
	}
	return resp
}

// BenchmarkOverhead measures a call through listener and chain and a direct
// call to the same upstream in turn. The differences of the medians and of the
// 99th percentiles are the overhead.
func BenchmarkOverhead(b *testing.B) {
	for name, body := range map[string]string{"short": goodBody, "8k_tokens": longBody} {
		b.Run(name, func(b *testing.B) {
			direct := httptest.NewServer(&engineFake{})
			defer direct.Close()
			in := start(b, map[string][]http.Handler{"plume": {&engineFake{}}}, func(p *Parts, _ *Options) {
				p.State.(*state).snap.Pool("plume").BlockTokens = 2000
			})
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			var through, without []time.Duration
			measure := func(url string) time.Duration {
				begin := time.Now()
				resp := post(b, c, url, body)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				return time.Since(begin)
			}
			for b.Loop() {
				through = append(through, measure(in.url))
				without = append(without, measure(direct.URL))
			}
			slices.Sort(through)
			slices.Sort(without)
			at := func(d []time.Duration, p int) float64 { return float64(d[len(d)*p/100].Microseconds()) }
			b.ReportMetric(at(without, 50), "direct-p50-us")
			b.ReportMetric(at(without, 99), "direct-p99-us")
			b.ReportMetric(at(through, 50)-at(without, 50), "overhead-p50-us")
			b.ReportMetric(at(through, 99)-at(without, 99), "overhead-p99-us")
		})
	}
}

// TestStreamMemory guards against buffers that grow with the number of open
// streams. The bound leaves room for two connections with their goroutines and
// buffers.
func TestStreamMemory(t *testing.T) {
	const streams, bound = 200, 160 << 10
	direct, router := streamMemory(t, streams)
	t.Logf("per stream: %d KiB direct, %d KiB in the router", direct>>10, router>>10)
	if router > bound {
		t.Errorf("a stream takes %d bytes in the router, more than %d", router, bound)
	}
}

// streamMemory returns the heap and stacks that an open stream takes when it is
// direct, and what it takes more when it goes through the router.
func streamMemory(t testing.TB, streams int) (direct, router int64) {
	hold := make(chan struct{})
	upstream := &engineFake{words: 2, event: func(seq int, _ string) {
		if seq == 2 {
			<-hold
		}
	}}
	server := httptest.NewServer(upstream)
	defer server.Close()
	in := start(t, map[string][]http.Handler{"plume": {upstream}}, nil)
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	var open []io.Closer
	used := func(url string) int64 {
		before := memory()
		for range streams {
			resp := post(t, c, url, streamBody)
			open = append(open, resp.Body)
			if _, err := io.ReadFull(resp.Body, make([]byte, 8)); err != nil {
				t.Fatal(err)
			}
		}
		return (memory() - before) / int64(streams)
	}
	direct = used(server.URL)
	router = used(in.url) - direct
	close(hold)
	for _, body := range open {
		_ = body.Close()
	}
	return direct, router
}

func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
