package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// standinParts are the values of the flag -run.
var standinParts = []string{"table", "objects", "list", "weights", "engines", "orders", "kv"}

type standinCmd struct {
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
	return `standin [-deployment ucab|skovgaard] [-run table,objects,...] [flags]

Runs stand-ins of one deployment on loopback addresses and prints one line
"kind id address" for each. Faults are switched with POST /faults on each
address. Every flag can be set by a variable FESCUESTEP_<FLAG>.

`
}

func (c *standinCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.deployment, "deployment", "ucab", "deployment to start: ucab or skovgaard")
	fs.StringVar(&c.run, "run", strings.Join(standinParts, ","), "comma-separated parts to start")
	fs.IntVar(&c.engines, "engines", 0, "number of model engines (0: of the deployment)")
	fs.IntVar(&c.orders, "orders", 0, "number of order servers (0: of the deployment)")
	fs.Float64Var(&c.scale, "scale", 1, "factor on all model and platform times")
	fs.DurationVar(&c.listLag, "list-lag", standin.DefaultListLag, "lag of the instance list, before scaling")
	fs.StringVar(&c.fencing, "fencing", "", "engines check or ignore fencing tokens: check or ignore (empty: of the deployment)")
	fs.StringVar(&c.addrs.TableAddr, "table-addr", "", "listen address of the table (empty: a free loopback port)")
	fs.StringVar(&c.addrs.ObjectsAddr, "objects-addr", "", "listen address of the object store")
	fs.StringVar(&c.addrs.ListAddr, "list-addr", "", "listen address of the instance list")
	fs.StringVar(&c.addrs.WeightsAddr, "weights-addr", "", "listen address of the weight store")
}

func (c *standinCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := fromEnvironment(fs); err != nil {
		fmt.Fprintln(os.Stderr, "fescuestep standin:", err)
		return subcommands.ExitUsageError
	}
	cfg, err := c.config()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fescuestep standin:", err)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	fleet, err := standin.Start(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fescuestep standin:", err)
		return subcommands.ExitFailure
	}
	defer fleet.Close()
	printFleet(os.Stdout, fleet)
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// fromEnvironment sets flags that the command line left out from variables
// FESCUESTEP_<FLAG>.
func fromEnvironment(fs *flag.FlagSet) error {
	given := []string{}
	fs.Visit(func(f *flag.Flag) { given = append(given, "-"+f.Name+"="+f.Value.String()) })
	return ff.Parse(fs, given, ff.WithEnvVarPrefix("FESCUESTEP"))
}

// config reports all invalid settings together.
func (c *standinCmd) config() (standin.Config, error) {
	var problems []string
	presets := map[string]func() standin.Config{"ucab": standin.UCAB, "skovgaard": standin.Skovgaard}
	preset, ok := presets[c.deployment]
	if !ok {
		problems = append(problems, fmt.Sprintf("-deployment %q is neither ucab nor skovgaard", c.deployment))
		preset = standin.UCAB
	}
	parts := strings.Split(c.run, ",")
	for _, part := range parts {
		if !slices.Contains(standinParts, part) {
			problems = append(problems, fmt.Sprintf("-run: unknown part %q, want some of %s", part, strings.Join(standinParts, ",")))
		}
	}
	if c.engines < 0 || c.orders < 0 {
		problems = append(problems, "-engines and -orders must not be negative")
	}
	if c.scale <= 0 {
		problems = append(problems, "-scale must be above 0")
	}
	if !slices.Contains([]string{"", "check", "ignore"}, c.fencing) {
		problems = append(problems, fmt.Sprintf("-fencing %q is neither check nor ignore", c.fencing))
	}
	if len(problems) > 0 {
		return standin.Config{}, errors.New(strings.Join(problems, "; "))
	}
	return c.apply(preset(), parts), nil
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

func printFleet(w io.Writer, fleet *standin.Fleet) {
	p := fleet.Platform
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
	for _, instance := range fleet.Instances() {
		fmt.Fprintln(w, instance.Pool, instance.ID, instance.Addr)
	}
}
