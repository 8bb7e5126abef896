package ratelimit

import (
	"context"
	"net/http"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/prompt"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// recorder grants everything and records what was taken and used.
type recorder struct{ taken, used int }

func (l *recorder) Take(_ context.Context, _ *config.Customer, tokens int) (Charge, error) {
	l.taken += tokens
	return l, nil
}

func (l *recorder) Settle(used int) { l.used += used }

// TestRequestThatRanIsCharged guards against a customer that exceeds its rate, since requests that an upstream ran and answered with a status of 4xx are given back, and against a charge for requests that did not run.
func TestRequestThatRanIsCharged(t *testing.T) {
	edge := &chain.Edge{Customer: &routing.Customer{Name: "c"}, Call: call.Request{HasTokenCounts: true, PromptTokens: 80, MaxTokens: 20}}
	served := &prompt.Prompt{MaxTokens: 100}
	for name, c := range map[string]struct {
		request chain.Request
		outcome chain.Outcome
		used    func(charged int) int
	}{
		"edge, success":             {chain.Request{Edge: edge}, chain.Outcome{Sent: true, Status: http.StatusOK}, all},
		"edge, 400 after it ran":    {chain.Request{Edge: edge}, chain.Outcome{Sent: true, Status: http.StatusBadRequest}, all},
		"edge, 404 after it ran":    {chain.Request{Edge: edge}, chain.Outcome{Sent: true, Status: http.StatusNotFound}, all},
		"edge, 500":                 {chain.Request{Edge: edge}, chain.Outcome{Sent: true, Status: http.StatusInternalServerError}, all},
		"edge, no answer":           {chain.Request{Edge: edge}, chain.Outcome{Sent: true}, all},
		"edge, refused as not run":  {chain.Request{Edge: edge}, chain.Outcome{Status: http.StatusTooManyRequests}, none},
		"edge, not sent":            {chain.Request{Edge: edge}, chain.Outcome{}, none},
		"engine, cannot process it": {chain.Request{Prompt: served}, chain.Outcome{Sent: true, Status: http.StatusUnprocessableEntity}, none},
		"engine, no answer":         {chain.Request{Prompt: served}, chain.Outcome{Sent: true}, all},
		"engine, tokens reported":   {chain.Request{Prompt: served}, chain.Outcome{Sent: true, Status: http.StatusOK, Complete: true, PromptTokens: 3, OutputTokens: 4}, func(int) int { return 7 }},
	} {
		l := &recorder{}
		c.request.Customer = &config.Customer{ID: "c"}
		handler := New(l).Wrap(func(_ context.Context, r *chain.Request) error {
			r.Outcome = c.outcome
			return nil
		})
		if err := handler(t.Context(), &c.request); err != nil {
			t.Fatal(err)
		}
		if want := c.used(l.taken); l.taken == 0 || l.used != want {
			t.Errorf("%s: %d of %d tokens used, want %d", name, l.used, l.taken, want)
		}
	}
}

func all(charged int) int { return charged }
func none(int) int        { return 0 }
