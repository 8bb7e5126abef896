package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/pkg/engine"
)

// largePlan returns a plan of 2,800 upstreams in their desired state.
func largePlan(b *testing.B) (*control.Plan, []control.Upstream) {
	b.Helper()
	cfg := control.DefaultPlanConfig()
	cfg.ReadsPerSecond = 100_000
	plan := control.NewPlan(cfg, 1, 0)
	var upstreams []control.Upstream
	for i := range 2800 {
		id := fmt.Sprint("e", i)
		upstreams = append(upstreams, control.Upstream{ID: id, Addr: id, Desired: control.DesiredState{Weights: "1", Adapters: []string{"x"}}})
	}
	plan.SetUpstreams(upstreams)
	for now := time.Duration(0); now < time.Second; now += step {
		for _, s := range plan.Next(now, alwaysCovered) {
			plan.HandleResult(now, s, engine.CommandResult{Weights: "1", Adapters: []string{"x"}}, nil)
		}
	}
	return plan, upstreams
}

// BenchmarkPlan measures one evaluation of the plan, which the leader does 50
// times per second.
func BenchmarkPlan(b *testing.B) {
	plan, _ := largePlan(b)
	b.ReportAllocs()
	for b.Loop() {
		if steps := plan.Next(time.Second, alwaysCovered); len(steps) > 0 {
			b.Fatal("plan returned steps for upstreams in their desired state")
		}
		plan.Progress(time.Second)
	}
}

// BenchmarkSetUpstreams measures one update of the list of upstreams, which the
// leader does once per second.
func BenchmarkSetUpstreams(b *testing.B) {
	plan, upstreams := largePlan(b)
	b.ReportAllocs()
	for b.Loop() {
		plan.SetUpstreams(upstreams)
	}
}

// BenchmarkCandidate measures one ranking of 700 members.
func BenchmarkCandidate(b *testing.B) {
	var members []config.Member
	for i := range 700 {
		members = append(members, config.Member{ID: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%7)})
	}
	for b.Loop() {
		control.IsCandidate(members, "i0")
	}
}
