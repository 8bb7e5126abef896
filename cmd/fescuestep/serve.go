package main

import (
	"context"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/instance"
	"github.com/fescuestep/fescuestep/pkg/logging"
	"github.com/fescuestep/fescuestep/pkg/settings"
)

type serveCmd struct {
	streams
	settings settings.Serve
}

func (*serveCmd) Name() string                { return "serve" }
func (*serveCmd) Synopsis() string            { return "run one router instance" }
func (*serveCmd) Args() (least, most int)     { return 0, 0 }
func (c *serveCmd) SetFlags(fs *flag.FlagSet) { c.settings.Register(fs) }
func (c *serveCmd) Validate() settings.Errors { return c.settings.Validate() }
func (*serveCmd) Usage() string {
	return `serve [flags]

Runs one router instance until SIGTERM or SIGINT and then stops gracefully: it
reports not ready, goes on accepting requests for -drain-delay, and exits when
the last request has ended.
`
}

func (c *serveCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := logging.New(logging.Options{
		Name:   "fescuestep",
		Level:  c.settings.LogLevel,
		JSON:   c.settings.LogFormat == "json",
		Output: c.err,
	})
	debug.SetMemoryLimit(collectorLimit(int64(c.settings.MemoryLimit)))
	i, err := instance.New(&c.settings, instance.Options{Log: log})
	if err != nil {
		return fail(c.streams, err)
	}
	if err := i.Run(ctx); err != nil {
		return fail(c.streams, err)
	}
	return subcommands.ExitSuccess
}
