package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id      string
	path    string
	process string
	sent    time.Time
	ended   time.Time
	status  int  // 0: no answer
	whole   bool // the body is that of the server
	cut     bool // the answer ended early
}

// caller sends requests to one instance over kept connections.
type caller struct {
	process *process
	client  *http.Transport
	rng     *rand.Rand
	prefix  string

	mu       sync.Mutex
	outcomes []outcome
}

func newCaller(p *process, seed uint64, number int) *caller {
	return &caller{
		process: p, client: &http.Transport{DisableCompression: true},
		rng: rand.New(rand.NewPCG(seed, uint64(number))), prefix: fmt.Sprintf("%s-%d", p.name, number),
	}
}

// run calls until stop is closed; the last call goes on to its end.
func (c *caller) run(ctx context.Context, stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-stop:
			return
		default:
		}
		path := []string{pathLong, pathShort, pathOrder, pathOrder, pathRead}[c.rng.IntN(5)]
		o := c.call(ctx, fmt.Sprintf("%s-%d", c.prefix, n), path, keyKept)
		if ctx.Err() != nil && o.status == 0 {
			return
		}
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		if o.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// call sends one request and reads its answer.
func (c *caller) call(ctx context.Context, id, path, key string) (o outcome) {
	o = outcome{id: id, path: path, process: c.process.name, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	method := http.MethodPost
	if path == pathRead {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.process.callers()+path+"x", strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // the parts are constant
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "6000")
	req.Header.Set("Authorization", "Bearer "+key)
	if path == pathLong || path == pathShort {
		chain := c.rng.IntN(8)
		req.Header.Set("Model-Name", model)
		req.Header.Set("Token-Count", "2300,60")
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("%08x:2000,%08x:300", chain, c.rng.Uint32()))
	}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	o.cut = err != nil
	o.whole = err == nil && string(raw) == expected(path, id) && resp.Header.Get("Server-Seal") != ""
	return o
}

// expected is the whole body of a success.
func expected(path, id string) string {
	if path == pathOrder || path == pathRead {
		return standin.PlainBody(id)
	}
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(standin.Event(id, i))
	}
	return b.String()
}
