// Command fescuestep routes language-model traffic with long shared prompts.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

func main() {
	os.Exit(run(context.Background()))
}

func run(ctx context.Context) int {
	commander := subcommands.NewCommander(flag.CommandLine, "fescuestep")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&standinCmd{}, "")
	commander.Register(&versionCmd{}, "")
	flag.Usage = func() { commander.Explain(os.Stderr) }
	flag.Parse()
	if name := flag.Arg(0); name != "" && !registered(commander, name) {
		fmt.Fprintf(os.Stderr, "fescuestep: unknown command %q; run 'fescuestep help' for the list\n", name)
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

func registered(c *subcommands.Commander, name string) bool {
	found := false
	c.VisitCommands(func(_ *subcommands.CommandGroup, cmd subcommands.Command) {
		found = found || cmd.Name() == name
	})
	return found
}
