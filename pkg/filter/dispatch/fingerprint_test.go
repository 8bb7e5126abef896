package dispatch

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

func newExchange(method, target, customer, body string, parts ...string) *exchange {
	edge := &chain.Edge{Customer: &routing.Customer{Name: customer}, Call: call.Request{Model: "m"}}
	for _, id := range parts {
		edge.Call.PromptParts = append(edge.Call.PromptParts, call.PromptPart{ID: id, Tokens: 100})
	}
	r := &chain.Request{HTTP: httptest.NewRequest(method, target, strings.NewReader("")), Body: []byte(body), Edge: edge}
	return &exchange{r: r, edge: edge}
}

// TestOnlyAlikeRequestsShareAFingerprint guards against refusing a request for one that differs in anything, and against not knowing one that comes again.
func TestOnlyAlikeRequestsShareAFingerprint(t *testing.T) {
	crashing := newExchange("GET", "http://a.example/x?a=1", "c", "body")
	if got := newExchange("GET", "http://a.example/x?a=1", "c", "body"); !slices.Equal(got.crashParts(), crashing.crashParts()) {
		t.Error("an equal request is not known again")
	}
	for _, other := range []*exchange{
		newExchange("POST", "http://a.example/x?a=1", "c", "body"), newExchange("GET", "http://b.example/x?a=1", "c", "body"),
		newExchange("GET", "http://a.example/x?a=2", "c", "body"), newExchange("GET", "http://a.example/x?a=1", "d", "body"),
		newExchange("GET", "http://a.example/x?a=1", "c", "bodies"), newExchange("GET", "http://a.example/x?a=1", "cb", "ody"),
	} {
		if slices.Equal(other.crashParts(), crashing.crashParts()) {
			t.Errorf("%s %s is taken for another request", other.r.HTTP.Method, other.r.HTTP.RequestURI)
		}
	}
}

// TestPartsOfPromptsToSeveralModelsAreAlike guards against counting the ends at a part apart for each model.
func TestPartsOfPromptsToSeveralModelsAreAlike(t *testing.T) {
	a, b := newExchange("POST", "http://a.example/x", "c", "one", "bad", "1"), newExchange("POST", "http://b.example/y", "d", "two", "bad", "2")
	b.edge.Call.Model = "n"
	if !slices.ContainsFunc(a.crashParts(), func(p quarantine.Part) bool { return slices.Contains(b.crashParts(), p) }) {
		t.Error("prompts to two models have no part in common")
	}
}

// TestNoSharedPartIsLeftOut guards against a part that is never found since many come before it.
func TestNoSharedPartIsLeftOut(t *testing.T) {
	ids := strings.Split("a b c d e f g h i j k l m n o p q r s bad own", " ")
	a := newExchange("POST", "http://a.example/x", "c", "one", ids...)
	if !slices.Contains(a.crashParts(), quarantine.PartOf("m", "bad")) {
		t.Error("the twentieth shared part is left out")
	}
}

// TestAlikeBodiesOfPromptsAreNotTheCause guards against refusing all prompts of a customer, whose bodies are alike, for a part of some.
func TestAlikeBodiesOfPromptsAreNotTheCause(t *testing.T) {
	a, b := newExchange("POST", "http://a.example/x", "c", "", "first", "bad", "1"), newExchange("POST", "http://a.example/x", "c", "", "first", "bad", "2")
	i := slices.Index(a.crashParts(), quarantine.PartOf("m", "bad"))
	if i < 0 || slices.Index(a.crashParts(), quarantine.Part(fingerprint(a.r))) > i {
		t.Error("the whole request comes after the part and is blamed first")
	}
	if a.crashParts()[0] != b.crashParts()[0] || slices.Equal(a.crashParts(), b.crashParts()) {
		t.Error("prompts with alike bodies are not told apart by their last part")
	}
}
