package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// standinParts are the values of the flag -run.
var standinParts = []string{"table", "objects", "list", "weights", "engines", "orders", "kv"}

var standinDeployments = map[string]func() standin.Config{"ucab": standin.UCAB, "skovgaard": standin.Skovgaard}

type standinCmd struct {
	streams
	deployment string
	run        string
	engines    int
	orders     int
	scale      float64
	listLag    time.Duration
	fencing    string
	addrs      standin.PlatformOptions
}

func (*standinCmd) Name() string     { return "standin" }
func (*standinCmd) Synopsis() string { return "run stand-ins for the external systems" }
func (*standinCmd) Usage() string {
	return `standin [-deployment ucab,skovgaard] [-run table,objects,...] [flags]

Runs stand-ins of one or several deployments, which share the platform's
services, on loopback addresses and prints one line "kind id address" for each.
Faults are switched with POST /faults on each address.

`
}

func (c *standinCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.deployment, "deployment", "ucab", "comma-separated deployments to start: ucab, skovgaard")
	fs.StringVar(&c.run, "run", strings.Join(standinParts, ","), "comma-separated parts to start")
	fs.IntVar(&c.engines, "engines", 0, "number of model engines per deployment (0: as usual)")
	fs.IntVar(&c.orders, "orders", 0, "number of order servers per deployment (0: as usual)")
	fs.Float64Var(&c.scale, "scale", 1, "factor on all model and platform times")
	fs.DurationVar(&c.listLag, "list-lag", standin.DefaultListLag, "lag of the instance list, before scaling")
	fs.StringVar(&c.fencing, "fencing", "", "engines check or ignore fencing tokens: check or ignore (empty: as usual in the deployment)")
	fs.StringVar(&c.addrs.TableAddr, "table-addr", "127.0.0.1:9000", "listen address of the table (empty: a free loopback port)")
	fs.StringVar(&c.addrs.ObjectsAddr, "objects-addr", "127.0.0.1:9001", "listen address of the object store")
	fs.StringVar(&c.addrs.ListAddr, "list-addr", "127.0.0.1:9002", "listen address of the instance list")
	fs.StringVar(&c.addrs.WeightsAddr, "weights-addr", "127.0.0.1:9003", "listen address of the weight store")
}

func (c *standinCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := runFleets(ctx, c.out, c.fleets()); err != nil {
		return fail(c.streams, err)
	}
	return subcommands.ExitSuccess
}

// runFleets starts fleets that share one platform and stops them when ctx ends.
func runFleets(ctx context.Context, w io.Writer, fleets []standin.Config) error {
	p, err := standin.StartPlatform(fleets[0].PlatformOptions, fleets[0].Scale)
	if err != nil {
		return err
	}
	defer p.Close()
	printPlatform(w, p)
	for _, cfg := range fleets {
		cfg.Platform = p
		fleet, err := standin.Start(cfg)
		if err != nil {
			return err
		}
		defer fleet.Close()
		for _, instance := range fleet.Instances() {
			fmt.Fprintln(w, instance.Pool, instance.ID, instance.Addr)
		}
	}
	<-ctx.Done()
	return nil
}

// Validate returns all invalid settings.
func (c *standinCmd) Validate() settings.Errors {
	var wrong settings.Errors
	for _, name := range strings.Split(c.deployment, ",") {
		if standinDeployments[name] == nil {
			wrong = append(wrong, errors.Newf("-deployment: %q is neither ucab nor skovgaard", name))
		}
	}
	for _, part := range strings.Split(c.run, ",") {
		if !slices.Contains(standinParts, part) {
			wrong = append(wrong, errors.Newf("-run: unknown part %q, want some of %s", part, strings.Join(standinParts, ",")))
		}
	}
	if c.engines < 0 || c.orders < 0 {
		wrong = append(wrong, errors.New("-engines and -orders must not be negative"))
	}
	if c.scale <= 0 {
		wrong = append(wrong, errors.New("-scale must be above 0"))
	}
	if !slices.Contains([]string{"", "check", "ignore"}, c.fencing) {
		wrong = append(wrong, errors.Newf("-fencing: %q is neither check nor ignore", c.fencing))
	}
	return wrong
}

// fleets returns one fleet per deployment.
func (c *standinCmd) fleets() []standin.Config {
	var out []standin.Config
	for _, name := range strings.Split(c.deployment, ",") {
		out = append(out, c.apply(standinDeployments[name](), strings.Split(c.run, ",")))
	}
	return out
}

// apply narrows a deployment to the wanted parts and numbers.
func (c *standinCmd) apply(cfg standin.Config, parts []string) standin.Config {
	cfg.Scale = host.Scale(c.scale)
	cfg.PlatformOptions = c.addrs
	cfg.PlatformOptions.List.Lag = c.listLag
	for _, service := range []string{"table", "objects", "list", "weights"} {
		if !slices.Contains(parts, service) {
			cfg.PlatformOptions.Skip = append(cfg.PlatformOptions.Skip, service)
		}
	}
	part := map[config.Kind]string{config.Model: "engines", config.Service: "orders", config.KV: "kv"}
	count := map[config.Kind]int{config.Model: c.engines, config.Service: c.orders}
	for i := range cfg.Pools {
		pool := &cfg.Pools[i]
		if n := count[pool.Kind]; n > 0 {
			pool.Count = n
		}
		if !slices.Contains(parts, part[pool.Kind]) {
			pool.Count = 0
		}
		if c.fencing != "" {
			pool.Engine.ChecksFencing = c.fencing == "check"
		}
	}
	return cfg
}

func printPlatform(w io.Writer, p *standin.Platform) {
	if p.Table != nil {
		fmt.Fprintln(w, "table table", p.Table.Addr())
	}
	if p.Objects != nil {
		fmt.Fprintln(w, "objects objects", p.Objects.Addr())
	}
	if p.List != nil {
		fmt.Fprintln(w, "list list", p.List.Addr())
	}
	if p.Weights != nil {
		fmt.Fprintln(w, "weights weights", p.Weights.Addr())
	}
}
