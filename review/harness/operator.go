//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
)

const (
	llmService = "desk-llm"
	host       = "desk.example"
)

// baseConfig is a configuration of one model service.
func baseConfig() routing.Config {
	return routing.Config{
		Version: 3,
		Routes: []routing.Route{{
			Name: "advice", Host: host, Prefix: "/advice/", Kind: routing.Stream, Split: []routing.WeightedService{{Service: llmService, Weight: 1}},
			Timeout: 15 * time.Second, TargetLatency: time.Second, TargetEventGap: 300 * time.Millisecond, MaxAttempts: 1, HasPrompt: true,
		}},
		Services: []routing.Service{
			{Name: llmService, HealthPath: "/health", ConnLimit: 360, Engine: &routing.Engine{Slots: 64, KVTokens: 236942, TokenBytes: 18432, LinkMbps: 550000, Models: []string{modelName}}},
		},
		Customers: []routing.Customer{{Name: "school", Rate: 186788, Burst: 186788, DefaultRequestTokens: 200}},
		Keys:      map[string]string{"key-of-the-school": "school"},
		Limits:    routing.DefaultLimits(),
	}
}

// putConfig writes a configuration, as the operator does.
func (w *world) putConfig(c routing.Config) error {
	raw, err := platform.EncodeConfig(c)
	if err != nil {
		return err
	}
	w.store.Put("op", "config", raw)
	w.note("operator: config version %d", c.Version)
	return nil
}

// nameVersion names a version of the model's weights.
func (w *world) nameVersion(engines []*engine, version int) {
	for _, e := range engines {
		e.mu.Lock()
		e.named = version
		e.mu.Unlock()
	}
	w.note("operator: version %d of the weights is named", version)
	raw, _ := json.Marshal(map[string]any{"model": modelName, "version": version})
	w.store.Put("op", "version/"+modelName, raw)
}

// awaitVersion waits until all engines have a version.
func (w *world) awaitVersion(engines []*engine, version int, most time.Duration) error {
	ok := eventually(most, func() bool {
		for _, e := range engines {
			e.mu.Lock()
			has := e.version >= version
			e.mu.Unlock()
			if !has {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("the servers do not get version %d", version)
	}
	w.note("all servers have version %d", version)
	return nil
}
