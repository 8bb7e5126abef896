// Command fescuestep routes language-model traffic with long shared prompts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// commands lists all subcommands, one per line. Each has its own file.
func commands(s streams) []entry {
	return []entry{
		{"configuration", newQuestionnaireGroup(s)},
		{"configuration", newConfigGroup(s)},
		{"configuration", newKeyGroup(s)},
		{"running", &serveCmd{streams: s}},
		{"running", &edgeCmd{streams: s}},
		{"running", &demoCmd{streams: s}},
		{"running", newRolloutGroup(s)},
		{"testing", &standinCmd{streams: s}},
		{"testing", &replayCmd{streams: s}},
		{"testing", &loadCmd{streams: s}},
		{"testing", &soakCmd{streams: s}},
		{"other", &versionCmd{}},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := streams{os.Stdin, os.Stdout, os.Stderr}
	status := run(ctx, commands(s), os.Args[1:], s)
	stop()
	os.Exit(status)
}
