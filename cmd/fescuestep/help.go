package main

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/settings"
)

// help prints the list of commands or explains the command that args name.
func help(entries []entry, args []string, s streams) int {
	if len(args) == 0 {
		overview(s.out, entries)
		return int(subcommands.ExitSuccess)
	}
	cmd, path, _, err := find(entries, append(args, "help"))
	if err != nil {
		return usageError(s, err.Error())
	}
	explain(s.out, cmd, path)
	return int(subcommands.ExitSuccess)
}

func overview(w io.Writer, entries []entry) {
	fmt.Fprint(w, "fescuestep routes language-model traffic with long shared prompts.\n\nUsage: fescuestep <command> [flags] [arguments]\n")
	section := ""
	for _, e := range entries {
		if e.section != section {
			section = e.section
			fmt.Fprintf(w, "\n%s:\n", capital(section))
		}
		fmt.Fprintf(w, "  %-14s %s\n", e.cmd.Name(), e.cmd.Synopsis())
	}
	fmt.Fprint(w, "\n'fescuestep help <command>' explains a command and its flags. Each flag can also be\n"+
		"set by a variable: -log-level by "+settings.EnvName("log-level")+". The flag takes precedence.\n")
}

// explain prints the usage of one command and its flags with variables and
// defaults.
func explain(w io.Writer, cmd subcommands.Command, path string) {
	fmt.Fprintf(w, "Usage: fescuestep %s\n", strings.TrimSpace(cmd.Usage()))
	fs := flag.NewFlagSet(path, flag.ContinueOnError)
	cmd.SetFlags(fs)
	first := true
	fs.VisitAll(func(f *flag.Flag) {
		if first {
			fmt.Fprint(w, "\nFlags and their variables:\n")
			first = false
		}
		fmt.Fprintf(w, "  -%s (%s)\n        %s", f.Name, settings.EnvName(f.Name), f.Usage)
		if f.DefValue != "" && f.DefValue != "false" {
			fmt.Fprintf(w, "; default %s", f.DefValue)
		}
		fmt.Fprintln(w)
	})
}

func capital(s string) string {
	if s == "" {
		return ""
	}
	return strings.ToUpper(s[:1]) + s[1:]
}
