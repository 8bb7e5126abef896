package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/configcheck"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform"
)

func newConfigGroup(s streams) *group {
	return &group{
		name:     "config",
		synopsis: "check a configuration document before it is published",
		commands: []subcommands.Command{&configCheckCmd{streams: s}},
	}
}

type configCheckCmd struct {
	streams
	against string
}

func (*configCheckCmd) Name() string            { return "check" }
func (*configCheckCmd) Synopsis() string        { return "report mistakes in a configuration document" }
func (*configCheckCmd) Args() (least, most int) { return 1, 1 }
func (*configCheckCmd) Usage() string {
	return `config check [flags] <file>

Reports mistakes in a configuration document for the platform's store: entries
that are ambiguous or that no request can match, and limits that contradict each
other. With -against it lists what differs from the version in force. Instances
log the same mistakes when they adopt a configuration. - reads standard input.
Exit status 1 when there are errors; warnings alone give 0.
`
}

func (c *configCheckCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.against, "against", "", "file with the version in force, to list what differs")
}

func (c *configCheckCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	next, err := c.parse(fs.Arg(0))
	if err != nil {
		return fail(c.streams, err)
	}
	status := c.printFindings(configcheck.Check(next))
	if c.against == "" {
		return status
	}
	inForce, err := c.parse(c.against)
	if err != nil {
		return fail(c.streams, err)
	}
	c.printChanges(configcheck.Diff(inForce, next))
	return status
}

func (c *configCheckCmd) parse(path string) (routing.Config, error) {
	raw, err := c.read(path)
	if err != nil {
		return routing.Config{}, err
	}
	return platform.ParseConfig(raw)
}

func (c *configCheckCmd) printFindings(findings []configcheck.Finding) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	for _, f := range findings {
		fmt.Fprintln(c.out, f)
		if f.Severity == configcheck.Error {
			status = subcommands.ExitFailure
		}
	}
	if len(findings) == 0 {
		fmt.Fprintln(c.out, "no mistakes")
	}
	return status
}

func (c *configCheckCmd) printChanges(changes []configcheck.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(c.out, "no differences from the version in force")
	}
	for _, change := range changes {
		fmt.Fprintln(c.out, "changed:", change)
	}
}
