package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/replay"
)

// maxMismatches bounds the mismatches that are printed.
const maxMismatches = 20

type replayCmd struct{ streams }

func (*replayCmd) Name() string            { return "replay" }
func (*replayCmd) Synopsis() string        { return "replay a recorded trace through the decision code" }
func (*replayCmd) Args() (least, most int) { return 1, 1 }
func (*replayCmd) SetFlags(*flag.FlagSet)  {}

func (*replayCmd) Usage() string {
	return `replay TRACE

Feeds a trace (JSON lines) through the decision code without any I/O and
compares each decision with the one that the trace states. 'serve
-record-file FILE' records one. Exits with status 0 only if all are equal.
`
}

func (c *replayCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := os.Open(fs.Arg(0))
	if err != nil {
		return fail(c.streams, err)
	}
	defer func() { _ = file.Close() }()
	report, err := replay.Run(file)
	if err != nil {
		return fail(c.streams, err)
	}
	for i, m := range report.Mismatches {
		if i == maxMismatches {
			fmt.Fprintf(c.err, "and %d more\n", len(report.Mismatches)-i)
			break
		}
		fmt.Fprintln(c.err, m)
	}
	fmt.Fprintf(c.out, "%d inputs, %d outcomes compared, %d differ\n", report.Inputs, report.Outcomes, len(report.Mismatches))
	if len(report.Mismatches) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
