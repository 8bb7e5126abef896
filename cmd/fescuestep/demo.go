package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/demo"
	"github.com/fescuestep/fescuestep/pkg/demo/edgedemo"
	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/pkg/logging"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/platform"
)

// demoTimeout ends a demo that hangs.
const demoTimeout = 2 * time.Minute

type demoCmd struct {
	streams
	serve    bool
	platform bool
	logLevel string
}

func (*demoCmd) Name() string            { return "demo" }
func (*demoCmd) Synopsis() string        { return "show the whole path on loopback with stand-ins" }
func (*demoCmd) Args() (least, most int) { return 0, 0 }

func (c *demoCmd) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.serve, "serve", false, "leave everything running afterwards and print lines for curl")
	fs.BoolVar(&c.platform, "platform", false, "show edge instances on the stand-in of the users' platform instead")
	fs.StringVar(&c.logLevel, "log-level", "error", "trace, debug, info, warn or error")
}

func (*demoCmd) Usage() string {
	return `demo [-serve] [-platform]

Starts stand-ins for everything outside, three router instances and both
example deployments on loopback, makes real calls and prints what happened.
Exits with status 0 only if every outcome held.
`
}

// shown is a running demonstration.
type shown interface {
	Run(ctx context.Context) error
	Describe()
	Close()
}

func (c *demoCmd) start(ctx context.Context, log hclog.Logger) (shown, error) {
	if c.platform {
		return edgedemo.Start(ctx, startEdge, c.out, log)
	}
	return demo.Start(ctx, c.out, log)
}

// startEdge assembles an instance as the edge command does.
func startEdge(s *platform.Settings, log hclog.Logger) (edgedemo.Instance, error) {
	m := metrics.New()
	instance, err := edge.New(edgeOptions(s, edge.AdmissionAuto), edgeParts(s, m, log))
	if err != nil {
		return nil, errors.CombineErrors(err, m.Close())
	}
	return demoEdge{instance, m}, nil
}

// demoEdge is an instance with metrics of its own.
type demoEdge struct {
	*edge.Instance
	metrics *metrics.Metrics
}

// Run runs the instance and ends its metrics.
func (d demoEdge) Run(ctx context.Context) error {
	return errors.CombineErrors(d.Instance.Run(ctx), d.metrics.Close())
}

func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := logging.New(logging.Options{Name: "demo", Level: c.logLevel, Output: c.err})
	bounded, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := c.start(bounded, log)
	if err != nil {
		return fail(c.streams, err)
	}
	defer d.Close()
	if c.serve {
		d.Describe()
		fmt.Fprintln(c.out, "Stop with Ctrl-C.")
		<-ctx.Done()
		return subcommands.ExitSuccess
	}
	if err := d.Run(bounded); err != nil {
		return fail(c.streams, err)
	}
	return subcommands.ExitSuccess
}
