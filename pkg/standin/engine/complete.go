package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/prompt"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// MaxBodyBytes bounds the body of a completion request.
const MaxBodyBytes = 32 << 20

// maxBroken bounds the resumable streams that are kept.
const maxBroken = 1024

// generation is one completion.
type generation struct {
	id       string // request ID
	prompt   *prompt.Prompt
	salt     string
	adapter  string
	weights  string // version that computes it
	want     string // version asked for, empty: any
	priority int
	tokens   int // of the answer
	finish   string
	cached   int // prompt tokens found in the cache
	queued   int // uncached prompt tokens on arrival
	brokenAt time.Time
}

func (l *life) handleChat(c echo.Context) error       { return l.complete(c, prompt.Chat) }
func (l *life) handleCompletion(c echo.Context) error { return l.complete(c, prompt.Completion) }

// complete runs one completion request.
func (l *life) complete(c echo.Context, kind prompt.Kind) error {
	l.countRequest(c.Request().Header)
	if l.server.Faults.Use(func(f *Faults) *int { return &f.Refuse }) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "engine refuses")
	}
	g, err := l.parse(c.Request(), kind)
	if err != nil {
		return err
	}
	c.Response().Header().Set(engine.HeaderRequestID, g.id)
	c.Response().Header().Set(engine.HeaderIncarnation, l.incarnation)
	ctx, cancel, err := withDeadline(c.Request())
	if err != nil {
		return err
	}
	defer cancel()
	if resume := c.Request().Header.Get(engine.HeaderResumeAfter); resume != "" {
		return l.resume(ctx, c, g, resume)
	}
	return l.run(ctx, c, g, 0)
}

// run computes and answers a generation from event after+1 on. A resumed one
// needs no prefill: its cache was kept with the stream.
func (l *life) run(ctx context.Context, c echo.Context, g *generation, after uint64) error {
	l.enqueue(g, after > 0)
	err := l.admit(ctx, g, after > 0)
	l.dequeue(g)
	if err != nil {
		return l.refuseOrDrop(ctx, err)
	}
	defer l.slots.release()
	if err := host.Sleep(ctx, l.scaled(l.server.Faults.Get().AnswerDelay)); err != nil {
		return l.refuseOrDrop(ctx, err)
	}
	l.changeDecoding(1)
	defer l.changeDecoding(-1)
	answer := l.crossed(g)
	c.Response().Header().Set(engine.HeaderRequestID, answer.id)
	c.Response().Header().Set(engine.HeaderCachedTokens, strconv.Itoa(g.cached))
	if g.prompt.Stream {
		return l.stream(ctx, c, answer, after)
	}
	return l.answer(ctx, c, answer)
}

// admit waits for a place in the batch, for weights to be loaded and for the
// prefill. It holds a place when it returns no error.
func (l *life) admit(ctx context.Context, g *generation, resumed bool) error {
	if err := l.slots.acquire(ctx, g.priority); err != nil {
		return err
	}
	err := l.awaitWeights(ctx, g)
	if err == nil && !resumed {
		err = l.compute(ctx, g)
	}
	if err != nil {
		l.slots.release()
	}
	return err
}

// awaitWeights waits until no weights are loading and checks that the engine
// serves what the request names.
func (l *life) awaitWeights(ctx context.Context, g *generation) error {
	l.mu.Lock()
	ready := l.ready
	l.mu.Unlock()
	select {
	case <-ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g.weights = l.state.weights
	if g.want != "" && g.want != g.weights {
		return echo.NewHTTPError(http.StatusConflict, "engine serves weights version "+g.weights)
	}
	if !l.adapterLoaded(g.adapter) {
		return echo.NewHTTPError(http.StatusConflict, "adapter is not loaded")
	}
	return nil
}

// compute prefills the uncached part of the prompt, one request at a time.
func (l *life) compute(ctx context.Context, g *generation) error {
	if err := l.prefill.acquire(ctx, g.priority); err != nil {
		return err
	}
	defer l.prefill.release()
	seed, chain := l.chain(g)
	uncached := l.lookUp(g, seed, chain)
	seconds := float64(uncached) / l.options.PrefillPerSec
	if err := host.Sleep(ctx, l.slowed(time.Duration(seconds*float64(time.Second)))); err != nil {
		return err
	}
	if err := l.pause(ctx); err != nil {
		return err
	}
	l.store(g, seed, chain, uncached)
	return nil
}

// chain returns the block hashes of the prompt.
func (l *life) chain(g *generation) (seed block.Hash, chain []block.Hash) {
	id := block.Identity{CacheScope: g.salt, Model: g.prompt.Model, Adapter: g.adapter, WeightsVersion: g.weights}
	seed = id.Seed()
	return seed, block.AppendChain(nil, seed, g.prompt.Text, l.options.BlockTokens*prompt.BytesPerToken)
}

// lookUp returns the number of prompt tokens that are not cached.
func (l *life) lookUp(g *generation, seed block.Hash, chain []block.Hash) int {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	known := chain[:l.cache.match(chain)]
	for i := len(known) - 1; i >= 0; i-- {
		l.cache.touch(entry{known[i], parentOf(seed, known, i), now})
	}
	g.cached = len(known) * l.options.BlockTokens
	return max(0, g.prompt.EstimatedTokens()-g.cached)
}

// store caches the prompt's blocks unless the weights changed meanwhile.
func (l *life) store(g *generation, seed block.Hash, chain []block.Hash, uncached int) {
	l.mu.Lock()
	if g.weights == l.state.weights {
		l.cache.insert(seed, chain, time.Now())
	}
	l.mu.Unlock()
	l.server.count(func(t *Stats) {
		t.PromptTokens += g.prompt.EstimatedTokens()
		t.CachedTokens += g.cached
		t.PrefilledTokens += uncached
	})
}

// parse reads the request. Its errors are HTTP errors.
func (l *life) parse(req *http.Request, kind prompt.Kind) (*generation, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, MaxBodyBytes))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p, err := prompt.Parse(kind, body)
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if l.options.Model != "" && p.Model != l.options.Model {
		return nil, echo.NewHTTPError(http.StatusNotFound, "engine serves model "+l.options.Model)
	}
	priority, err := number(req.Header, engine.HeaderPriority)
	if err != nil {
		return nil, err
	}
	g := &generation{
		id: req.Header.Get(engine.HeaderRequestID), prompt: p, priority: priority,
		salt: req.Header.Get(engine.HeaderCacheSalt), adapter: req.Header.Get(engine.HeaderAdapter),
		want: req.Header.Get(engine.HeaderWeightsVersion),
	}
	if g.id == "" {
		g.id = "cmpl-" + strconv.FormatUint(incarnations.Add(1), 10)
	}
	g.tokens, g.finish = AnswerLength(p.Text, p.MaxTokens)
	return g, nil
}

// number reads an optional integer header.
func number(header http.Header, name string) (int, error) {
	value := header.Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "header "+name+" is not an integer")
	}
	return n, nil
}

// withDeadline bounds a request by its deadline header, in unscaled time: it
// is the caller's clock that runs out.
func withDeadline(req *http.Request) (context.Context, context.CancelFunc, error) {
	ms, err := number(req.Header, engine.HeaderDeadline)
	if err != nil {
		return nil, nil, err
	}
	if ms <= 0 {
		return req.Context(), func() {}, nil
	}
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

// refuseOrDrop ends a request that was not answered.
func (l *life) refuseOrDrop(ctx context.Context, err error) error {
	if httpError, ok := err.(*echo.HTTPError); ok {
		return httpError
	}
	l.server.count(func(t *Stats) { t.Cancelled++ })
	if ctx.Err() == context.DeadlineExceeded {
		return echo.NewHTTPError(http.StatusGatewayTimeout, "deadline passed before the answer")
	}
	host.Drop()
	return nil
}

func (l *life) countRequest(header http.Header) {
	l.server.count(func(t *Stats) {
		t.Requests++
		if l.server.leaving {
			t.AfterLeaving++
		}
		if host.HasCredentials(header) {
			t.Leaks++
		}
	})
}

// enqueue counts a request that waits for its prefill; a resumed one needs
// none.
func (l *life) enqueue(g *generation, resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.weights = l.state.weights
	if !resumed {
		_, chain := l.chain(g)
		g.queued = max(0, g.prompt.EstimatedTokens()-l.cache.match(chain)*l.options.BlockTokens)
	}
	l.waiting++
	l.queued += g.queued
}

// dequeue ends the wait that enqueue counted.
func (l *life) dequeue(g *generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	l.queued -= g.queued
}
