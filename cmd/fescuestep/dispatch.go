package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/suggest"
)

// streams are the standard streams, replaced in tests.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// entry is a subcommand and the heading under which help lists it.
type entry struct {
	section string
	cmd     subcommands.Command
}

// group is a subcommand that only has subcommands of its own.
type group struct {
	name     string
	synopsis string
	commands []subcommands.Command
}

func (g *group) Name() string           { return g.name }
func (g *group) Synopsis() string       { return g.synopsis }
func (g *group) SetFlags(*flag.FlagSet) {}

func (g *group) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s <command>\n\n%s.\n\nCommands:\n", g.name, capital(g.synopsis))
	for _, c := range g.commands {
		fmt.Fprintf(&b, "  %-10s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(&b, "\n'fescuestep help %s <command>' explains a command and its flags.\n", g.name)
	return b.String()
}

func (g *group) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return subcommands.ExitUsageError // run never gets here: a group is not executed
}

// A command that takes positional arguments implements positional. Others
// refuse them.
type positional interface {
	Args() (least, most int)
}

// A command whose settings need checking implements validated. Its mistakes
// are reported together with those of the flags, before anything starts.
type validated interface {
	Validate() settings.Errors
}

// run executes the subcommand that args name and returns the exit status: 2
// for a usage error, after one line per error on standard error.
func run(ctx context.Context, entries []entry, args []string, s streams) int {
	if len(args) == 0 {
		return usageError(s, "name a command; 'fescuestep help' lists them")
	}
	if isHelp(args[0]) {
		return help(entries, args[1:], s)
	}
	cmd, path, rest, err := find(entries, args)
	if err != nil {
		return usageError(s, err.Error())
	}
	names := flagNames(entries) // before parsing, because it resets the flags
	fs := flag.NewFlagSet(path, flag.ContinueOnError)
	cmd.SetFlags(fs)
	wrong, wantsHelp := parse(cmd, fs, rest, names)
	if wantsHelp {
		explain(s.out, cmd, path)
		return int(subcommands.ExitSuccess)
	}
	if len(wrong) > 0 {
		settings.Print(s.err, path, wrong)
		return int(subcommands.ExitUsageError)
	}
	return int(cmd.Execute(ctx, fs))
}

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

func usageError(s streams, message string) int {
	fmt.Fprintln(s.err, "fescuestep:", message)
	return int(subcommands.ExitUsageError)
}

// find returns the command that args name, its path and the arguments after
// it.
func find(entries []entry, args []string) (cmd subcommands.Command, path string, rest []string, err error) {
	list := make([]subcommands.Command, len(entries))
	for i, e := range entries {
		list[i] = e.cmd
	}
	for len(args) > 0 && !isHelp(args[0]) {
		next := named(list, args[0])
		if next == nil {
			return nil, path, nil, unknownCommand(list, path, args[0])
		}
		cmd, path, args = next, strings.TrimSpace(path+" "+args[0]), args[1:]
		g, ok := cmd.(*group)
		if !ok {
			return cmd, path, args, nil
		}
		list = g.commands
	}
	if len(args) > 0 {
		return cmd, path, []string{"-help"}, nil
	}
	return nil, path, nil, errors.Newf("%s needs a command; 'fescuestep help %s' lists them", path, path)
}

func named(list []subcommands.Command, name string) subcommands.Command {
	for _, c := range list {
		if c.Name() == name {
			return c
		}
	}
	return nil
}

func unknownCommand(list []subcommands.Command, path, name string) error {
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.Name()
	}
	prefix := "fescuestep help"
	if path != "" {
		prefix += " " + path
	}
	if closest := suggest.Closest(name, names); closest != "" {
		return errors.Newf("unknown command %q; did you mean %q? '%s' lists all", name, closest, prefix)
	}
	return errors.Newf("unknown command %q; '%s' lists all", name, prefix)
}

// parse sets the flags and returns everything that is wrong with them, with
// the environment and with the positional arguments.
func parse(cmd subcommands.Command, fs *flag.FlagSet, args, names []string) (wrong settings.Errors, wantsHelp bool) {
	err := settings.Parse(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		return nil, true
	}
	errors.As(err, &wrong)
	wrong = append(wrong, settings.Misspelt(os.Environ(), names)...)
	if v, ok := cmd.(validated); ok {
		wrong = append(wrong, v.Validate()...)
	}
	return append(wrong, checkArgs(cmd, fs)...), false
}

func checkArgs(cmd subcommands.Command, fs *flag.FlagSet) settings.Errors {
	least, most := 0, 0
	if p, ok := cmd.(positional); ok {
		least, most = p.Args()
	}
	usage, _, _ := strings.Cut(cmd.Usage(), "\n")
	switch {
	case fs.NArg() < least:
		return settings.Errors{errors.Newf("an argument is missing; usage: fescuestep %s", usage)}
	case fs.NArg() > most:
		return settings.Errors{errors.Newf("unexpected argument %q (flags stand before arguments); usage: fescuestep %s", fs.Arg(most), usage)}
	}
	return nil
}

// flagNames returns the flags of all commands. A variable may be set for
// another command than the one that runs.
func flagNames(entries []entry) []string {
	var names []string
	var visit func(subcommands.Command)
	visit = func(c subcommands.Command) {
		if g, ok := c.(*group); ok {
			for _, child := range g.commands {
				visit(child)
			}
			return
		}
		fs := flag.NewFlagSet("", flag.ContinueOnError)
		c.SetFlags(fs)
		fs.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	}
	for _, e := range entries {
		visit(e.cmd)
	}
	// Credentials have a variable without a flag.
	return append(names, "admin-credential", "peer-credential")
}
