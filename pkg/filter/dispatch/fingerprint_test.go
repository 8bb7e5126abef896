package dispatch

import (
	"net/http/httptest"
	"slices"
	"strconv"
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
	for _, shared := range []int{1, 20, 31, 32, 63, 64, 65, maxSharedParts} {
		x := newExchange("POST", "http://a.example/x", "c", "one", append(partIDs(shared-1), "bad", "own")...)
		if !slices.Contains(x.crashParts(), quarantine.PartOf("m", "bad")) || !slices.Contains(x.crashParts(), quarantine.PartOfAnyModel("bad")) {
			t.Errorf("the last of %d shared parts is left out", shared)
		}
		if len(x.crashParts()) > quarantine.MaxParts {
			t.Errorf("%d parts, at most %d are told", len(x.crashParts()), quarantine.MaxParts)
		}
	}
}

// partIDs returns n IDs of parts.
func partIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = "p" + strconv.Itoa(i)
	}
	return out
}

// TestPlacementPartsOfLongPrompts guards against prompts with many parts that are placed as if they had none in common, and against tokens that count twice or not at all.
func TestPlacementPartsOfLongPrompts(t *testing.T) {
	parts := func(ids ...string) []call.PromptPart {
		return newExchange("POST", "http://a.example/x", "c", "", ids...).edge.Call.PromptParts
	}
	for _, n := range []int{1, maxPlacementParts, maxPlacementParts + 1, 1024} {
		got := placementParts(parts(append(partIDs(n-1), "own")...))
		other := placementParts(parts(append(partIDs(n-1), "other")...))
		tokens := 0
		for _, part := range got {
			tokens += part.Tokens
		}
		if len(got) != min(n, maxPlacementParts) || tokens != 100*n || got[len(got)-1].ID != "own" {
			t.Errorf("%d parts: placed by %d with %d tokens, the last one %q", n, len(got), tokens, got[len(got)-1].ID)
		}
		if !slices.Equal(got[:len(got)-1], other[:len(other)-1]) {
			t.Errorf("%d parts: prompts that differ in the last one have not all others in common", n)
		}
	}
	a, b := partIDs(200), partIDs(200)
	b[150] = "x"
	if got, other := placementParts(parts(a...)), placementParts(parts(b...)); slices.Equal(got, other) || !slices.Equal(got[:10], other[:10]) {
		t.Error("prompts that differ in a later part are alike, or have no part in common")
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
