package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/demo"
	"github.com/fescuestep/fescuestep/pkg/logging"
)

// demoTimeout ends a demo that hangs.
const demoTimeout = 2 * time.Minute

type demoCmd struct {
	streams
	serve    bool
	logLevel string
}

func (*demoCmd) Name() string            { return "demo" }
func (*demoCmd) Synopsis() string        { return "show the whole path on loopback with stand-ins" }
func (*demoCmd) Args() (least, most int) { return 0, 0 }

func (c *demoCmd) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.serve, "serve", false, "leave everything running afterwards and print lines for curl")
	fs.StringVar(&c.logLevel, "log-level", "error", "trace, debug, info, warn or error")
}

func (*demoCmd) Usage() string {
	return `demo [-serve]

Starts stand-ins for everything outside, three router instances and both
example deployments on loopback, makes real calls and prints what happened.
Exits with status 0 only if every outcome held.
`
}

func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := logging.New(logging.Options{Name: "demo", Level: c.logLevel, Output: c.err})
	bounded, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := demo.Start(bounded, c.out, log)
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
