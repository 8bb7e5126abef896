//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// storeOfParts is the address of the store of KV cache, which gets no requests.
const storeOfParts = "127.0.0.1:9"

// wall plays: two tenants share parts of their prompts. Then a config makes one of them
// isolated. More than config_apply_ms after its ack the other one sends prompts with the
// parts that the first one's requests have made.
func wall(w *world) (broken bool, err error) {
	engines, err := w.addEngines(4, 290*time.Millisecond)
	if err != nil {
		return false, err
	}
	w.addCache(storeOfParts)
	config := baseConfig()
	config.Services = append(config.Services, routing.Service{Name: "care-cache", KVStore: &routing.KVStore{Addr: storeOfParts, Domain: "piedmont-b", KVTokens: 635754, LinkMbps: 31000}})
	config.Customers = append(config.Customers, routing.Customer{Name: "library", Rate: 186788, Burst: 186788, DefaultRequestTokens: 200})
	config.Keys["key-of-the-library"] = "library"
	if err := w.putConfig(config); err != nil {
		return false, err
	}
	if err := w.startInstances("a-1", "b-1", "c-1"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	prefix := func(n int) string { return fmt.Sprintf("5c1e0%d:5000,91bd%d:400", n, n) }
	for n := range 6 {
		w.send(n%3, "key-of-the-school", fmt.Sprintf("school-%d", n), prefix(n)+fmt.Sprintf(",5c00%d:250", n))
	}
	if w.trouble {
		config.Version = 5
		config.Customers[0].Isolated = true
		if err := w.putConfig(config); err != nil {
			return false, err
		}
		w.note("operator: %s is isolated from now on", config.Customers[0].Name)
	}
	time.Sleep(5 * time.Second)
	isolated := map[string]bool{}
	for _, c := range config.Customers {
		isolated[c.Name] = c.Isolated
	}
	served := 0
	for n := range 6 {
		id := fmt.Sprintf("library-%d", n)
		if w.send((n+1)%3, "key-of-the-library", id, prefix(n)+fmt.Sprintf(",11b0%d:250", n)) {
			served++
		}
	}
	if served < 6 {
		return false, fmt.Errorf("only %d of 6 requests were served", served)
	}
	for _, e := range engines {
		e.mu.Lock()
		for _, u := range e.uses {
			if u.tenant == u.made.tenant || !(isolated[u.tenant] || isolated[u.made.tenant]) || u.tenant != "library" {
				continue
			}
			broken = true
			w.note("BROKEN WALL: request %s of %s used part %s at %s, which request %s of %s had made", u.request, u.tenant, u.part, e.id, u.made.request, u.made.tenant)
		}
		e.mu.Unlock()
	}
	return broken, nil
}
