// Package settings reads the static settings of the subcommands from flags
// and FESCUESTEP_ environment variables. All wrong settings are reported
// together.
package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/fescuestep/fescuestep/pkg/suggest"
)

// EnvPrefix is the prefix of the environment variables. The flag
// -listen-peers has the variable FESCUESTEP_LISTEN_PEERS.
const EnvPrefix = "FESCUESTEP"

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Errors lists wrong settings.
type Errors []error

// Error implements error with one setting per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, err := range es {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse sets the flags of fs from args and, where a flag is not given, from
// its environment variable. It continues after a wrong setting and returns
// Errors with all of them, or flag.ErrHelp. A flag that was set wrongly keeps
// its default.
func Parse(fs *flag.FlagSet, args []string) error {
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	var wrong Errors
	restore := collect(fs, &wrong)
	defer restore()
	known, unknown := split(fs, args)
	wrong = append(wrong, unknown...)
	err := ff.Parse(fs, known, ff.WithEnvVarPrefix(EnvPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	if err != nil {
		wrong = append(wrong, err)
	}
	if len(wrong) > 0 {
		return wrong
	}
	return nil
}

// collector is a flag value that records an error instead of returning it,
// because flag and ff stop at the first error.
type collector struct {
	flag.Value
	name  string
	start string // default, restored after an error so that checks don't report it again
	wrong *Errors
}

// Set implements flag.Value and never returns an error.
func (c *collector) Set(text string) error {
	if err := c.Value.Set(text); err != nil {
		*c.wrong = append(*c.wrong, errors.Newf("-%s (%s): %q: %v", c.name, EnvName(c.name), text, err))
		_ = c.Value.Set(c.start)
	}
	return nil
}

// IsBoolFlag lets -name stand for -name=true when the wrapped flag allows it.
func (c *collector) IsBoolFlag() bool { return isBool(c.Value) }

func isBool(v flag.Value) bool {
	b, ok := v.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

// collect wraps the values of all flags and returns a function that unwraps
// them.
func collect(fs *flag.FlagSet, wrong *Errors) (restore func()) {
	before := map[*flag.Flag]flag.Value{}
	fs.VisitAll(func(f *flag.Flag) {
		before[f] = f.Value
		f.Value = &collector{f.Value, f.Name, f.DefValue, wrong}
	})
	return func() {
		for f, value := range before {
			f.Value = value
		}
	}
}

// split separates arguments that flag can parse from unknown flags. The value
// after an unknown flag goes with it.
func split(fs *flag.FlagSet, args []string) (known []string, unknown Errors) {
	for i := 0; i < len(args); i++ {
		arg := args[i]
		if len(arg) < 2 || arg[0] != '-' || arg == "--" {
			return append(known, args[i:]...), unknown
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		f := fs.Lookup(name)
		next := !hasValue && i+1 < len(args)
		switch {
		case name == "h" || name == "help":
			known = append(known, arg)
		case f == nil:
			unknown = append(unknown, unknownFlag(fs, name))
			if next && !strings.HasPrefix(args[i+1], "-") {
				i++
			}
		case hasValue || isBool(f.Value):
			known = append(known, arg)
		case next:
			known = append(known, arg, args[i+1])
			i++
		default:
			unknown = append(unknown, errors.Newf("-%s: needs a value", name))
		}
	}
	return known, unknown
}

func unknownFlag(fs *flag.FlagSet, name string) error {
	var names []string
	fs.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	if closest := suggest.Closest(name, names); closest != "" {
		return errors.Newf("unknown flag -%s; did you mean -%s?", name, closest)
	}
	return errors.Newf("unknown flag -%s; 'fescuestep help %s' lists the flags", name, fs.Name())
}

// A variable counts as misspelt at an edit distance of up to maxMisspelling
// and a quarter of its name. Others are ignored: platforms inject variables
// such as FESCUESTEP_PORT for a service of that name.
const maxMisspelling = 2

// Misspelt reports environment variables with the prefix that are almost, but
// not quite, the variable of one of the flags. They would be ignored silently.
func Misspelt(environ, flagNames []string) Errors {
	known := make([]string, len(flagNames))
	set := map[string]bool{}
	for i, name := range flagNames {
		known[i] = EnvName(name)
		set[known[i]] = true
	}
	var wrong Errors
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvPrefix+"_") || set[name] {
			continue
		}
		most := min(maxMisspelling, (len(name)-len(EnvPrefix)-1)/4)
		if meant := suggest.ClosestWithin(name, known, most); meant != "" {
			wrong = append(wrong, errors.Newf("unknown variable %s; did you mean %s?", name, meant))
		}
	}
	return wrong
}

// Print writes wrong settings for the user, one per line.
func Print(w io.Writer, command string, wrong Errors) {
	for _, err := range wrong {
		fmt.Fprintf(w, "fescuestep %s: %v\n", command, err)
	}
}

// readFile returns the trimmed content of a file.
func readFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	return strings.TrimSpace(string(text)), err
}
