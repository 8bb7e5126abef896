package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCmd struct{}

func (*versionCmd) Name() string           { return "version" }
func (*versionCmd) Synopsis() string       { return "print the version" }
func (*versionCmd) Usage() string          { return "version\n\nPrints the version of this binary.\n" }
func (*versionCmd) SetFlags(*flag.FlagSet) {}

func (*versionCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Printf("fescuestep %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return subcommands.ExitSuccess
}
