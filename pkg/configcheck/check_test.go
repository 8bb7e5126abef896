package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// valid returns a configuration without mistakes.
func valid() routing.Config {
	return routing.Config{
		Version: 2,
		Routes: []routing.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: routing.Stream, HasPrompt: true, Split: []routing.WeightedService{{Service: "llm", Weight: 1}}, Timeout: 8 * time.Second, TargetLatency: time.Second, TargetEventGap: time.Second, MaxAttempts: 1},
			{Name: "read", Host: "a.example", Prefix: "/read/", Kind: routing.Safe, Split: []routing.WeightedService{{Service: "app", Weight: 1}}, Timeout: time.Second, MaxAttempts: 2},
		},
		Services: []routing.Service{
			{Name: "llm", ConnLimit: 100, Engine: &routing.Engine{Slots: 16, KVTokens: 100_000, Models: []string{"m"}}},
			{Name: "app"},
			{Name: "store", KVStore: &routing.KVStore{Addr: "127.0.0.1:1"}},
		},
		Customers: []routing.Customer{{Name: "x", Rate: 1000, Burst: 5000, DefaultRequestTokens: 200}},
		Keys:      map[string]string{"k1": "x"},
		Limits:    routing.DefaultLimits(),
	}
}

// TestCheck guards against mistakes that are not reported, and against reports on entries
// that are in order.
func TestCheck(t *testing.T) {
	if got := Check(valid()); len(got) > 0 {
		t.Errorf("a configuration without mistakes: %v", got)
	}
	for want, change := range map[string]func(c *routing.Config){
		`error: route "again": matches the same host and prefix as route "chat"`: func(c *routing.Config) {
			r := c.Routes[0]
			r.Name, r.Host = "again", "A.example"
			c.Routes = append(c.Routes, r)
		},
		`error: route "read": leads to the service "none"`:                 func(c *routing.Config) { c.Routes[1].Split[0].Service = "none" },
		`error: route "read": leads to the service "store"`:                func(c *routing.Config) { c.Routes[1].Split[0].Service = "store" },
		`error: route "read": never matches`:                               func(c *routing.Config) { c.Routes[1].Prefix = "/read?x/" },
		`error: route "chat": has a target latency of 1s, longer`:          func(c *routing.Config) { c.Routes[0].Timeout = time.Second / 2 },
		`warning: route "read": does not stream`:                           func(c *routing.Config) { c.Routes[1].Resumable = true },
		`warning: route "chat": allows 3 attempts`:                         func(c *routing.Config) { c.Routes[0].MaxAttempts = 3 },
		`warning: service "app": no route leads to it`:                     func(c *routing.Config) { c.Routes = c.Routes[:1] },
		`error: service "llm": has engines with 0 slots`:                   func(c *routing.Config) { c.Services[0].Engine.Slots = 0 },
		`warning: service "llm": accepts 8 connections`:                    func(c *routing.Config) { c.Services[0].ConnLimit = 8 },
		`warning: customer "x": has no key`:                                func(c *routing.Config) { c.Keys = nil },
		`error: customer "y": has a key that is also listed`:               func(c *routing.Config) { c.SharedKeys = []string{"y"} },
		`warning: customer "x": has a burst but no rate`:                   func(c *routing.Config) { c.Customers[0].Rate = 0 },
		`warning: customer "x": its burst of 100 tokens`:                   func(c *routing.Config) { c.Customers[0].Burst = 100 },
		`warning: limits: callers may take 20s for a head, longer`:         func(c *routing.Config) { c.Limits.HeaderTimeout = 20 * time.Second },
		`error: customer "x": is listed twice; only one entry`:             func(c *routing.Config) { c.Customers = append(c.Customers, c.Customers[0]) },
		`warning: route "read": its requests state prompts, but the serv`:  func(c *routing.Config) { c.Routes[1].HasPrompt = true },
		`warning: route "read": the prefix "/read" does not end with a sl`: func(c *routing.Config) { c.Routes[1].Prefix = "/read" },
	} {
		c := valid()
		change(&c)
		got := Check(c)
		if len(got) == 0 || !strings.HasPrefix(got[0].String(), want) {
			t.Errorf("want %q, got %v", want, got)
		}
	}
}

// TestDiff guards against a change that an operator is not shown, and against keys in the
// output.
func TestDiff(t *testing.T) {
	next := valid()
	next.Version = 3
	next.Routes[1].Timeout = 2 * time.Second
	next.Services[0].Engine = &routing.Engine{Slots: 32, KVTokens: 100_000, Models: []string{"m"}}
	next.Services = append(next.Services, routing.Service{Name: "new"})
	next.Customers = nil
	next.Keys = map[string]string{"k2": "x"}
	next.Limits.BodyBytes = 1 << 20
	var got []string
	for _, c := range Diff(valid(), next) {
		got = append(got, c.String())
	}
	want := []string{
		`route "read": Timeout: 1s -> 2s`,
		`service "llm" Engine: Slots: 16 -> 32`,
		`service "new": added`,
		`customer "x": removed`,
		`customer "x": keys: 1 added, 1 removed`,
		`limits: BodyBytes: 4194304 -> 1048576`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	same := Diff(valid(), valid())
	if len(same) != 1 || same[0].Entry != "version" {
		t.Errorf("the same configuration again: %v", same)
	}
}
