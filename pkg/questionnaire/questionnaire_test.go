package questionnaire

import (
	"bytes"
	"encoding/json"
	"flag"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/examples"
	"github.com/fescuestep/fescuestep/pkg/config"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestExamplesGolden guards against an example with mistakes and against a
// change of the generated configuration that nobody intended.
func TestExamplesGolden(t *testing.T) {
	for name, text := range examples.All() {
		d, err := Build(text)
		if err != nil {
			t.Fatalf("%s:\n%v", name, err)
		}
		got, err := json.MarshalIndent(d, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", name+".golden.json")
		if *update {
			if err := os.WriteFile(path, append(got, '\n'), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), string(got)+"\n"); diff != "" {
			t.Errorf("%s differs from its golden file (-want +got):\n%s", name, diff)
		}
	}
}

// TestGenerateIgnoresOrder guards against JSON that depends on the order of
// the answers, which would make equal configurations look changed.
func TestGenerateIgnoresOrder(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for name, text := range examples.All() {
		q, _ := Parse(text)
		want, _ := json.Marshal(Generate(q))
		for range 20 {
			shuffle(random, q.FailureDomains)
			shuffle(random, q.Customers)
			shuffle(random, q.Applications)
			shuffle(random, q.Pools)
			for i := range q.Customers {
				shuffle(random, q.Customers[i].Teams)
				shuffle(random, q.Customers[i].Applications)
			}
			for i := range q.Applications {
				shuffle(random, q.Applications[i].Calls)
			}
			if got, _ := json.Marshal(Generate(q)); !bytes.Equal(got, want) {
				t.Fatalf("%s: the JSON depends on the order of the answers", name)
			}
		}
	}
}

func shuffle[T any](random *rand.Rand, list []T) {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// edit is one change to the UCAB example and the mistake expected from it.
type edit struct {
	old, new string
	want     string // as in Mistake.String, without position
	at       string // text at which the mistake must stand
}

var edits = []edit{
	{"region: armor", "regoin: armor", `unknown field "regoin" (did you mean "region"?)`, "regoin"},
	{"region: armor", "region: armor\nregion: armor2", `region: field "region" is given twice (keep one of them)`, "region: armor2"},
	{"region: armor", "region: Armor Coast", `"Armor Coast" is not allowed here; write small letters, digits and dashes (did you mean "armor-coast"?)`, "region: A"},
	{"region: armor", "region:", "region: an answer is required", "region:"},
	{"region: armor", "region: {a: b}", "region: expects a text", "region:"},
	{"region: armor", "region: &a armor", "anchors, aliases and tags are not allowed", "region:"},
	{"500us", "fast", `one_way_delay: expects a time such as 500us, 20ms or 30s, got "fast"`, "one_way_delay"},
	{"500us", "2s", "one_way_delay: must be at most 1s", "one_way_delay"},
	{"priority: tail_latency", "priority: tail_latencies", `"tail_latencies" is not one of tail_latency, cache_reuse (did you mean "tail_latency"?)`, "priority: t"},
	{"rate: 60000", "rate: plenty", `customers[0].rate: expects a number, got "plenty"`, "rate: plenty"},
	{"rate: 60000", "rate: 0", "customers[0].rate: an answer is required", "rate: 0"},
	{"rate: 60000", "rate: -1", "customers[0].rate: must be greater than 0", "rate: -1"},
	{"rate: 60000", "rate: .inf", "customers[0].rate: must be at most 1000000000", "rate: .inf"},
	{"rate: 60000", "rate: .nan", "customers[0].rate:", "rate: .nan"},
	{"[leon, tregor]", "[leon, leon]", `customers[3].teams[1]: team "leon" is given twice (also on line`, "leon]"},
	{"[leon, tregor]", "leon", "customers[3].teams: expects a list", "teams: leon"},
	{"id: print-run", "id: shops", `customers[1].id: customer "shops" is given twice`, "id: shops\n    name: Nightly"},
	{"[greetings, orders-new]", "[greeting, orders-new]", `customers[1].applications[0]: no application is named "greeting" (did you mean "greetings"?)`, "greeting,"},
	{"pool: plume\n    # The", "pool: plum\n    # The", `applications[0].pool: no pool is named "plum" (did you mean "plume"?)`, "pool: plum\n"},
	{"pool: plume\n    # The", "pool: atelier\n    # The", `pool "atelier" is of kind service, the application of kind model`, "pool: atelier"},
	{"orders-old", "v1", `applications[2].id: "v1" is used by the router itself`, "id: v1"},
	{"model: plume-suggestion", "model: plume-greeting", `applications[1].model: model "plume-greeting" is given twice`, "model: plume-greeting\n    adapter"},
	{"        may_repeat: yes\n", "", "applications[3].calls[2].may_repeat: an answer is required for PUT", "method: PUT"},
	{"        may_repeat: yes\n", "        may_repeat: perhaps\n", `may_repeat: expects yes or no, got "perhaps"`, "may_repeat: perhaps"},
	{"header: X-Commande", "header: X-Commande\n          body_field: nr", "order_number: stands either in a header or in a field of the body", "order_number:"},
	{"header: X-Commande", "header: authorization", "header Authorization can't carry an order number", "header: auth"},
	{"order_space: card-orders\n      - method: GET\n        path: /orders\n      # An", "order_space: card-order\n      - method: GET\n        path: /orders", `no order space is named "card-order" (did you mean "card-orders"?)`, "order_space: card-order\n"},
	{"path: /opening-hours", "path: /orders", `applications[2].calls[2].path: call "GET /orders" is given twice`, "path: /orders\n        open"},
	{"    weights: plume-7\n", "", "pools[0].weights: an answer is required for kind: model", "name: plume\n"},
	{"kv_pool: memoire", "kv_pool: atelier", `pool "atelier" is of kind service, not kv`, "kv_pool: atelier"},
	{"weight: 4", "weight: 0", "customers[0].weight: must be greater than 0 (leave it out for the default)", "weight: 0"},
	{"max_in_flight: 32", "max_in_flight: 0", "pools[1].max_in_flight: must be greater than 0", "max_in_flight: 0"},
	{"one_way_delay: 500us", "one_way_delay: 0s", "one_way_delay: must be greater than 0", "one_way_delay: 0s"},
	{"kind: kv", "kind: kv\n    weights: x", "pools[2].weights: only pools of kind model have this (remove it)", "weights: x"},
	{"order_spaces:", "shared_caches:\n- {name: a, customers: [shops, web-shop]}\n- {name: b, customers: [shops, web-shopp]}\norder_spaces:", `customer "shops" already stands in shared cache "a"`, "shops, web-shopp"},
	{"body_field: order_number", "body_field: order.number", `"order.number" is not allowed here`, "body_field"},
	{"region: armor", "region: [armor", "not valid YAML", ""},
	{"region: armor", "region: armor\n---\na: b", "more than one YAML document", ""},
}

// TestMistakes guards against mistakes that are accepted, reported at the
// wrong place or buried under others that only follow from them.
func TestMistakes(t *testing.T) {
	for _, e := range edits {
		text := strings.ReplaceAll(string(examples.UCAB), e.old, e.new)
		if text == string(examples.UCAB) {
			t.Fatalf("the example has no text %q", e.old)
		}
		got := Check([]byte(text))
		found := false
		for _, m := range got {
			if strings.Contains(m.String(), e.want) {
				found = true
				checkPosition(t, text, e, m)
			}
		}
		if !found || len(got) > 2 {
			t.Errorf("%q: want %q alone, got:\n%v", e.new, e.want, Mistakes(got))
		}
	}
}

func checkPosition(t *testing.T, text string, e edit, m Mistake) {
	t.Helper()
	if e.at == "" {
		return
	}
	lines := strings.SplitAfter(text, "\n")
	offset := m.Column - 1
	for _, line := range lines[:m.Line-1] {
		offset += len([]rune(line))
	}
	rest := string([]rune(text)[min(offset, len([]rune(text))):])
	if !strings.HasPrefix(rest, e.at) {
		t.Errorf("%q: mistake %q stands at %.30q, want %q", e.new, m, rest, e.at)
	}
}

// TestAllMistakesAtOnce guards against a check that stops at the first mistake.
func TestAllMistakesAtOnce(t *testing.T) {
	text := strings.NewReplacer("region: armor", "regoin: armor", "rate: 60000", "rate: plenty",
		"pool: plume\n", "pool: plum\n", "kind: kv", "kind: kw").Replace(string(examples.UCAB))
	got := Check([]byte(text))
	var lines []string
	for _, m := range got {
		lines = append(lines, m.Field)
	}
	want := []string{"regoin", "customers[0].rate", "applications[0].pool", "applications[1].pool", "pools[2].kind"}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("fields with mistakes (-want +got):\n%s\n%v", diff, Mistakes(got))
	}
}

// TestConflicts guards against a deployment that takes over the customers or
// pools of another, and against a deployment that conflicts with itself.
func TestConflicts(t *testing.T) {
	d, err := Build(examples.UCAB)
	if err != nil {
		t.Fatal(err)
	}
	fleet := config.Restore(1, []*config.Deployment{d}, nil, config.Membership{})
	if _, err := BuildFor(fleet, examples.UCAB); err != nil {
		t.Errorf("replacing a deployment: %v", err)
	}
	if _, err := BuildFor(fleet, examples.Skovgaard); err != nil {
		t.Errorf("adding a deployment: %v", err)
	}
	copied := strings.Replace(string(examples.UCAB), "deployment: ucab", "deployment: copy", 1)
	_, err = BuildFor(fleet, []byte(copied))
	if err == nil || len(err.(Mistakes)) != 5+4+2+3 {
		t.Errorf("want a mistake for each customer, application, model and pool, got:\n%v", err)
	}
}

// TestBounds guards against input that keeps the parser busy for minutes.
func TestBounds(t *testing.T) {
	for want, text := range map[string]string{
		"larger than":            strings.Repeat("#", MaxBytes+1),
		"lines and entries":      strings.Repeat("a: b\n", maxEntries+1),
		"nests more than":        strings.Repeat("{a: ", maxDepth+1),
		"not UTF-8":              "deployment: \xff",
		"zero byte":              "deployment: \x00",
		"questionnaire is empty": "# only a comment\n",
	} {
		got := Check([]byte(text))
		if len(got) != 1 || !strings.Contains(got[0].Message, want) {
			t.Errorf("want %q, got %v", want, got)
		}
	}
}

// FuzzBuild guards against input that makes the parser panic or hang, and
// against an accepted questionnaire whose JSON is not reproducible.
func FuzzBuild(f *testing.F) {
	for _, text := range examples.All() {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Build(text)
		if err != nil {
			for _, m := range Check(text) {
				if m.Line < 1 || m.Column < 1 || m.Message == "" {
					t.Errorf("incomplete mistake %+v", m)
				}
			}
			return
		}
		again, err := Build(text)
		if err != nil || !cmp.Equal(d, again) {
			t.Errorf("second build differs: %v", err)
		}
		if _, err := json.Marshal(d); err != nil {
			t.Errorf("accepted, but not JSON: %v", err)
		}
	})
}
