package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/load"
	"github.com/fescuestep/fescuestep/pkg/load/embedded"
	"github.com/fescuestep/fescuestep/pkg/load/emulator"
	"github.com/fescuestep/fescuestep/pkg/pick"
	"github.com/fescuestep/fescuestep/pkg/settings"
)

// defaultLoadInstances keeps four embedded fleets within one machine.
const defaultLoadInstances = 3

type loadCmd struct {
	streams
	profile  string
	seed     uint64
	duration time.Duration
	policies list
	faults   string
	overload bool
	virtual  bool
	edge     bool

	deployment string
	instances  int
	rate       float64
	targets    list
	key        string
	json       bool
	report     string
}

// list is a flag that may be repeated or hold several values after commas.
type list []string

func (l *list) String() string { return strings.Join(*l, ",") }

func (l *list) Set(value string) error {
	*l = append(*l, strings.Split(value, ",")...)
	return nil
}

func (*loadCmd) Name() string            { return "load" }
func (*loadCmd) Synopsis() string        { return "measure endpoint choice under open-loop traffic" }
func (*loadCmd) Args() (least, most int) { return 0, 0 }
func (*loadCmd) Usage() string {
	return `load [flags]

Offers the traffic of a profile to every policy at the same time and prints the
measures. Arrivals do not wait for answers. By default each policy gets whole
router instances and stand-ins of its own in this process; -virtual runs the
decision code alone in virtual time, with repeatable figures; -target sends to
running instances. Progress goes to standard error.

With -edge the placement of edge instances is played against a model of engines
in virtual time, next to simple placements and to a bound: each request alone on
the fastest engine, which keeps every shared part that came before.
`
}

func (c *loadCmd) SetFlags(fs *flag.FlagSet) {
	c.policies, c.targets = nil, nil
	fs.StringVar(&c.profile, "profile", "ucab", "traffic profile: ucab or skovgaard")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the arrivals")
	fs.DurationVar(&c.duration, "duration", time.Minute, "time over which requests arrive")
	fs.Var(&c.policies, "policy", "policy to measure, repeatable: fescuestep, round_robin, least_in_flight, prefix_hash (default: all)")
	fs.StringVar(&c.faults, "faults", "none", `fault schedule: none, standard, or "time:kind:target:duration,..." with the kinds engine_crash, event_gap (a count instead of the duration), table_outage, key_revocation and instance_restart`)
	fs.BoolVar(&c.overload, "overload", false, "one customer sends 5 times its rate in the middle third")
	fs.BoolVar(&c.virtual, "virtual", false, "run the decision code in virtual time")
	fs.StringVar(&c.deployment, "deployment", "small", "model of engines for -edge: small, grown, shared (machines that slow down for a while and state it; shared-unstated and shared-false do not state it, or the reverse) or hot (few slots, some slow, one prompt part in 0.3 of the long prompts); limits tries ways of learning the limit of one upstream, plain has one slow upstream of a plain service")
	fs.BoolVar(&c.edge, "edge", false, "play the placement of edge instances against a model of engines")
	fs.IntVar(&c.instances, "instances", 0, "router instances per policy (0: 3 embedded, 6 in virtual time)")
	fs.Float64Var(&c.rate, "rate", 0, "requests per second (0: of the profile)")
	fs.Var(&c.targets, "target", "base URL of a running instance, repeatable; replaces the embedded instances")
	fs.StringVar(&c.key, "key", "", "caller's key for -target")
	fs.BoolVar(&c.json, "json", false, "print the result as JSON")
	fs.StringVar(&c.report, "report", "", "file for a report with plots, .html or .svg")
}

// Validate reports all wrong flags together.
func (c *loadCmd) Validate() (wrong settings.Errors) {
	if _, err := load.ProfileFor(c.profile); err != nil {
		wrong = append(wrong, errors.Wrap(err, "-profile"))
	}
	names := pick.PolicyNames()
	if c.edge {
		names = emulator.Policies()
	}
	for _, p := range c.policies {
		if !slices.Contains(names, p) {
			wrong = append(wrong, errors.Newf("-policy: unknown policy %q, have %v", p, names))
		}
	}
	if c.edge && (c.virtual || c.overload || c.faults != "none" || len(c.targets) > 0) {
		wrong = append(wrong, errors.New("-edge excludes -virtual, -overload, -faults and -target"))
	}
	if _, err := load.ParseFaults(c.faults, c.duration); err != nil {
		wrong = append(wrong, errors.Wrap(err, "-faults"))
	}
	if c.duration < time.Second || c.instances < 0 || c.rate < 0 {
		wrong = append(wrong, errors.New("-duration must be at least 1s, -instances and -rate not negative"))
	}
	if c.virtual && len(c.targets) > 0 {
		wrong = append(wrong, errors.New("-virtual and -target exclude each other"))
	}
	return wrong
}

// playEdge plays the load against the model of engines.
func (c *loadCmd) playEdge() error {
	if c.deployment == "limits" {
		instances := max(1, c.instances)
		for _, slow := range []float64{0, 0.15} {
			fmt.Fprintf(c.out, "one answer of %d measured, slow %.2f of the time\n", instances, slow)
			emulator.WriteLimits(c.out, emulator.TryLimits(c.seed, c.duration, slow, instances))
		}
		return nil
	}
	if c.deployment == "plain" {
		emulator.WritePlain(c.out, c.seed, c.duration, max(1, c.instances))
		return nil
	}
	d, err := emulator.Named(c.deployment, 1)
	if err != nil {
		return err
	}
	if c.rate > 0 {
		d, _ = emulator.Named(c.deployment, c.rate/d.Rate())
	}
	if c.instances > 0 {
		d.Instances = c.instances
	}
	policies := []string(c.policies)
	if len(policies) == 0 {
		policies = emulator.Policies()
	}
	results, err := emulator.Play(d, policies, c.seed, c.duration)
	if err != nil {
		return err
	}
	if c.json {
		return json.NewEncoder(c.out).Encode(results)
	}
	emulator.Write(c.out, results)
	return nil
}

func (c *loadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.edge {
		if err := c.playEdge(); err != nil {
			return fail(c.streams, err)
		}
		return subcommands.ExitSuccess
	}
	report, err := c.measure(ctx)
	if err != nil {
		return fail(c.streams, err)
	}
	if err := c.write(report); err != nil {
		return fail(c.streams, err)
	}
	return subcommands.ExitSuccess
}

func (c *loadCmd) measure(ctx context.Context) (*load.Report, error) {
	o, err := c.options()
	if err != nil {
		return nil, err
	}
	switch {
	case c.virtual:
		return load.RunVirtual(o)
	case len(c.targets) > 0:
		o.Policies = []string{"target"}
		return load.RunLive(ctx, o, load.StartTarget(c.targets, c.key))
	}
	return load.RunLive(ctx, o, embedded.Start)
}

func (c *loadCmd) options() (load.Options, error) {
	profile, err := load.ProfileFor(c.profile)
	if err != nil {
		return load.Options{}, err
	}
	faults, err := load.ParseFaults(c.faults, c.duration)
	if err != nil {
		return load.Options{}, err
	}
	if !c.virtual {
		profile.Instances = defaultLoadInstances
	}
	if c.instances > 0 {
		profile.Instances = c.instances
	}
	if c.rate > 0 {
		profile.Rate = c.rate
	}
	policies := []string(c.policies)
	if len(policies) == 0 {
		policies = pick.PolicyNames()
	}
	return load.Options{
		Profile: profile, Seed: c.seed, Duration: c.duration, Policies: policies,
		Faults: faults, Overload: c.overload, Progress: c.err,
	}, nil
}

func (c *loadCmd) write(r *load.Report) error {
	if c.report != "" {
		f, err := os.Create(c.report)
		if err != nil {
			return err
		}
		if err := errors.CombineErrors(r.Write(f, c.report), f.Close()); err != nil {
			return err
		}
	}
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	fmt.Fprintf(c.out, "%-16s %8s %8s %9s %9s %9s %10s %8s %8s\n", "policy", "hit rate", "bound", "p50 ms", "p99 ms", "worst ms", "wasted", "refused", "requests")
	for _, p := range r.Policies {
		fmt.Fprintf(c.out, "%-16s %8.3f %8.3f %9.1f %9.1f %9.1f %10d %8d %8d\n", p.Name, p.PrefixHitRate, p.HitRateBound,
			p.TTFTP50, p.TTFTP99, p.WorstCustomerTTFTP99, p.WastedTokens, p.RefusedWithinRate, p.Requests)
	}
	return nil
}
