package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/prompt"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// chunk is the JSON form of answers and stream events.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`   // chat stream
	Message *message `json:"message,omitempty"` // chat answer
	Text    *string  `json:"text,omitempty"`    // completion
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// lastSeq returns the sequence number of the end marker: after one event per
// token comes the usage, then the marker.
func (g *generation) lastSeq() uint64 { return uint64(g.tokens) + 2 }

// event returns the data of the event with the sequence number.
func (g *generation) event(seq uint64) string {
	c := chunk{ID: g.id, Object: "chat.completion.chunk", Model: g.prompt.Model, Choices: []choice{}}
	switch {
	case seq == g.lastSeq():
		return engine.EndMarker
	case seq == g.lastSeq()-1:
		c.Usage = g.usage()
	default:
		c.Choices = append(c.Choices, g.choice(int(seq)-1))
	}
	if g.prompt.Kind == prompt.Completion {
		c.Object = "text_completion"
	}
	data, _ := json.Marshal(c)
	return string(data)
}

// choice returns token i as a stream event shows it.
func (g *generation) choice(i int) choice {
	text := Token(g.prompt.Text, i)
	out := choice{}
	if g.prompt.Kind == prompt.Completion {
		out.Text = &text
	} else {
		out.Delta = &message{Content: text}
		if i == 0 {
			out.Delta.Role = "assistant"
		}
	}
	if i == g.tokens-1 {
		out.Finish = &g.finish
	}
	return out
}

func (g *generation) usage() *engine.Usage {
	u := &engine.Usage{PromptTokens: g.prompt.EstimatedTokens(), CompletionTokens: g.tokens}
	u.Details.CachedTokens = g.cached
	return u
}

// stream sends the events after the sequence number.
func (l *life) stream(ctx context.Context, c echo.Context, g *generation, after uint64) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	breakAt := l.breakAt(after)
	for seq := after + 1; seq <= g.lastSeq(); seq++ {
		if err := l.step(ctx, seq, g); err != nil {
			l.keepBroken(g)
			return l.endStream(ctx, c)
		}
		if seq == breakAt {
			l.keepBroken(g)
			return l.breakStream(c)
		}
		_, _ = fmt.Fprintf(c.Response(), "id: %d\ndata: %s\n\n", seq, g.event(seq))
		c.Response().Flush()
		l.countEvent()
	}
	l.server.count(func(t *Stats) { t.Completed++ })
	return nil
}

// step waits for the next token. The events after the last token follow at
// once.
func (l *life) step(ctx context.Context, seq uint64, g *generation) error {
	if seq <= uint64(g.tokens) {
		if err := host.Sleep(ctx, l.tokenTime()); err != nil {
			return err
		}
		l.server.count(func(t *Stats) { t.OutputTokens++ })
	}
	return l.pause(ctx)
}

// tokenTime is the time between two tokens; it grows with the batch.
func (l *life) tokenTime() time.Duration {
	l.mu.Lock()
	others := max(0, l.decoding-1)
	l.mu.Unlock()
	return l.slowed(l.options.TokenTime + time.Duration(others)*l.options.TokenTimeEach)
}

// breakAt returns the sequence number at which this stream breaks, 0 for none.
func (l *life) breakAt(after uint64) uint64 {
	if !l.server.Faults.Use(func(f *Faults) *int { return &f.BreakStreams }) {
		return 0
	}
	return after + uint64(max(0, l.server.Faults.Get().BreakAfter)) + 1
}

func (l *life) breakStream(c echo.Context) error {
	if l.server.Faults.Get().BreakClean {
		return nil
	}
	c.Response().Flush()
	host.Drop()
	return nil
}

// endStream ends a stream whose caller has gone or whose deadline passed.
func (l *life) endStream(ctx context.Context, c echo.Context) error {
	l.server.count(func(t *Stats) { t.Cancelled++ })
	if ctx.Err() == context.DeadlineExceeded && c.Request().Context().Err() == nil {
		return nil
	}
	host.Drop()
	return nil
}

// countEvent crashes the engine when the fault CrashAfterEvents is due.
func (l *life) countEvent() {
	faults := l.server.Faults.Get()
	if faults.CrashAfterEvents == 0 {
		return
	}
	if l.server.Faults.Use(func(f *Faults) *int { return &f.CrashAfterEvents }) && l.server.Faults.Get().CrashAfterEvents == 0 {
		l.server.requestCrash()
		<-l.ctx.Done()
		host.Drop()
	}
}

// answer sends a whole answer after the time that its tokens take.
func (l *life) answer(ctx context.Context, c echo.Context, g *generation) error {
	for range g.tokens {
		if err := l.step(ctx, 1, g); err != nil {
			return l.refuseOrDrop(ctx, err)
		}
	}
	l.server.count(func(t *Stats) { t.Completed++ })
	var text strings.Builder
	for i := range g.tokens {
		text.WriteString(Token(g.prompt.Text, i))
	}
	out := chunk{ID: g.id, Object: "chat.completion", Model: g.prompt.Model, Usage: g.usage()}
	whole := choice{Finish: &g.finish}
	if g.prompt.Kind == prompt.Completion {
		out.Object = "text_completion"
		content := text.String()
		whole.Text = &content
	} else {
		whole.Message = &message{Role: "assistant", Content: text.String()}
	}
	out.Choices = []choice{whole}
	return c.JSON(http.StatusOK, out)
}

// resume continues a broken stream of this incarnation, or answers 410.
func (l *life) resume(ctx context.Context, c echo.Context, g *generation, header string) error {
	after, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "resume position is not a number")
	}
	kept := l.takeBroken(g)
	if kept == nil || after > kept.lastSeq() || l.server.Faults.Get().NoResume {
		return echo.NewHTTPError(http.StatusGone, "stream cannot be resumed")
	}
	l.server.count(func(t *Stats) { t.Resumed++ })
	g.cached = kept.cached
	return l.run(ctx, c, g, after)
}

// keepBroken keeps a broken stream for a while.
func (l *life) keepBroken(g *generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) >= maxBroken {
		return
	}
	g.brokenAt = time.Now()
	l.broken[g.id] = g
}

// takeBroken returns the kept stream that g continues. Request, prompt and
// weights must be the same.
func (l *life) takeBroken(g *generation) *generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.broken[g.id]
	if kept == nil || string(kept.prompt.Text) != string(g.prompt.Text) || kept.weights != l.state.weights {
		return nil
	}
	delete(l.broken, g.id)
	return kept
}

// crossed returns the generation whose answer is sent: another request's when
// the fault CrossAnswer is due.
func (l *life) crossed(g *generation) *generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	other := l.previous
	l.previous = g
	if other == nil || other.id == g.id {
		return g
	}
	if !l.server.Faults.Use(func(f *Faults) *int { return &f.CrossAnswer }) {
		return g
	}
	mixed := *other
	return &mixed
}

func (l *life) changeDecoding(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decoding += by
}
