package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/soak"
)

type soakCmd struct {
	streams
	seed      uint64
	seeds     int
	duration  time.Duration
	instances int
	callers   int
	oldBinary string
}

func (*soakCmd) Name() string            { return "soak" }
func (*soakCmd) Synopsis() string        { return "run edge instances as processes under injected faults" }
func (*soakCmd) Args() (least, most int) { return 0, 0 }
func (*soakCmd) Usage() string {
	return `soak [flags]

Starts edge instances as separate processes against a stand-in of the platform,
injects faults (signals, proxies, store and servers that misbehave) and checks
what callers and upstreams see. Prints one line per seed and every finding; exit
status 1 if there is one.
`
}

func (c *soakCmd) SetFlags(fs *flag.FlagSet) {
	fs.Uint64Var(&c.seed, "seed", 1, "first seed")
	fs.IntVar(&c.seeds, "seeds", 1, "number of seeds, played one after the other")
	fs.DurationVar(&c.duration, "duration", 15*time.Second, "how long faults are injected per seed")
	fs.IntVar(&c.instances, "instances", 3, "edge instances")
	fs.StringVar(&c.oldBinary, "old-binary", "", "path of an older build, which instances run until they are started again")
	fs.IntVar(&c.callers, "callers", 3, "callers per instance")
}

// Most processes and callers of a run, within a few hundred processes.
const (
	maxSoakInstances = 64
	maxSoakCallers   = 64
)

// Validate checks the sizes.
func (c *soakCmd) Validate() settings.Errors {
	var out settings.Errors
	if c.instances < 1 || c.instances > maxSoakInstances {
		out = append(out, errors.Newf("-instances must be from 1 to %d", maxSoakInstances))
	}
	if c.callers < 1 || c.callers > maxSoakCallers {
		out = append(out, errors.Newf("-callers must be from 1 to %d", maxSoakCallers))
	}
	if c.seeds < 1 || c.duration <= 0 {
		out = append(out, errors.New("-seeds and -duration must be positive"))
	}
	return out
}

func (c *soakCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	binary, err := os.Executable()
	if err != nil {
		return fail(c.streams, err)
	}
	status := subcommands.ExitSuccess
	for i := range c.seeds {
		if ctx.Err() != nil {
			return subcommands.ExitFailure
		}
		seed := c.seed + uint64(i)
		findings, err := soak.Run(ctx, soak.Options{
			Binary: binary, OldBinary: c.oldBinary, Seed: seed, Duration: c.duration, Instances: c.instances, Callers: c.callers, Out: c.out,
		})
		if err != nil {
			return fail(c.streams, err)
		}
		for _, finding := range findings {
			_, _ = fmt.Fprintf(c.out, "seed %d: %s\n", seed, finding)
			status = subcommands.ExitFailure
		}
	}
	return status
}
