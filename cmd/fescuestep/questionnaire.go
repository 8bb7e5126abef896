package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

func newQuestionnaireGroup(s streams) *group {
	return &group{
		name:     "questionnaire",
		synopsis: "check a questionnaire, generate its configuration or apply it",
		commands: []subcommands.Command{
			&checkCmd{streams: s},
			&generateCmd{streams: s},
			&applyCmd{streams: s},
		},
	}
}

// read returns the content of the file, or of standard input for "-". It
// reads at most one byte more than a questionnaire may have.
func (s streams) read(path string) ([]byte, error) {
	in := s.in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "reading the questionnaire")
		}
		defer f.Close()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, questionnaire.MaxBytes+1))
}

// printMistakes prints one mistake per line in the form editors understand.
func (s streams) printMistakes(path string, mistakes []questionnaire.Mistake) {
	for _, m := range mistakes {
		line := fmt.Sprintf("%s:%d:%d: ", path, m.Line, m.Column)
		if m.Field != "" {
			line += m.Field + ": "
		}
		line += m.Message
		if m.Suggestion != "" {
			line += " (" + m.Suggestion + ")"
		}
		fmt.Fprintln(s.err, line)
	}
}

type checkCmd struct{ streams }

func (*checkCmd) Name() string            { return "check" }
func (*checkCmd) Synopsis() string        { return "report all mistakes in a questionnaire" }
func (*checkCmd) SetFlags(*flag.FlagSet)  {}
func (*checkCmd) Args() (least, most int) { return 1, 1 }

func (*checkCmd) Usage() string {
	return `questionnaire check <file>

Reports all mistakes with line, column and a suggestion; - reads standard
input. Exit status 1 when there are mistakes. Nothing is changed and no
instance is contacted. docs/configuration.md explains the fields,
examples/ucab.yaml is a commented example.
`
}

func (c *checkCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := c.read(fs.Arg(0))
	if err != nil {
		return fail(c.streams, err)
	}
	mistakes := questionnaire.Check(text)
	c.printMistakes(fs.Arg(0), mistakes)
	if len(mistakes) > 0 {
		return subcommands.ExitFailure
	}
	fmt.Fprintln(c.out, "no mistakes")
	return subcommands.ExitSuccess
}

type generateCmd struct {
	streams
	format  string
	host    string
	version uint64
	keys    string
}

// Formats of a generated configuration.
const (
	formatProduct  = "product"
	formatPlatform = "platform"
)

func (*generateCmd) Name() string { return "generate" }
func (*generateCmd) Synopsis() string {
	return "print the configuration generated from a questionnaire"
}

func (c *generateCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.format, "format", formatProduct, "product, or platform for the document that lies in the platform's store")
	fs.StringVar(&c.host, "host", "", "host name of the routes; with -format platform")
	fs.Uint64Var(&c.version, "config-version", 1, "version of the document, higher than the last one; with -format platform")
	fs.StringVar(&c.keys, "keys", "", "file with one customer and one key a line; with -format platform")
}

func (*generateCmd) Args() (least, most int) { return 1, 1 }

// Validate checks the flags together.
func (c *generateCmd) Validate() settings.Errors {
	var out settings.Errors
	if c.format != formatProduct && c.format != formatPlatform {
		out = append(out, errors.Newf("-format must be %s or %s", formatProduct, formatPlatform))
	}
	if c.format == formatPlatform && c.host == "" {
		out = append(out, errors.New("-host is needed with -format platform"))
	}
	return out
}

func (*generateCmd) Usage() string {
	return `questionnaire generate [flags] <file>

Prints the generated configuration as JSON; - reads standard input. The same
answers always give the same bytes. Nothing is changed. With -format platform it
prints the operator's document of the users' platform.
`
}

func (c *generateCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := c.read(fs.Arg(0))
	if err != nil {
		return fail(c.streams, err)
	}
	d, err := questionnaire.Build(text)
	var mistakes questionnaire.Mistakes
	if errors.As(err, &mistakes) {
		c.printMistakes(fs.Arg(0), mistakes)
		return subcommands.ExitFailure
	}
	if c.format == formatPlatform {
		err = c.printDocument(d)
	} else {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(d)
	}
	if err != nil {
		return fail(c.streams, err)
	}
	return subcommands.ExitSuccess
}

// printDocument prints the operator's document, after reading it back.
func (c *generateCmd) printDocument(d *config.Deployment) error {
	keys, err := c.readKeys(d)
	if err != nil {
		return err
	}
	raw, err := platform.EncodeConfig(routing.FromDeployment(d, c.host, c.version, keys))
	if err != nil {
		return err
	}
	if _, err := platform.DecodeConfig(raw); err != nil {
		return errors.Wrap(err, "the document does not read back")
	}
	_, err = fmt.Fprintf(c.out, "%s\n", raw)
	return err
}

// readKeys returns the customer of each key.
func (c *generateCmd) readKeys(d *config.Deployment) (map[string]string, error) {
	keys := map[string]string{}
	if c.keys == "" {
		return keys, nil
	}
	raw, err := os.ReadFile(c.keys)
	if err != nil {
		return nil, errors.Wrap(err, "reading the keys")
	}
	known := map[string]bool{}
	for _, customer := range d.Customers {
		known[customer.ID] = true
	}
	for i, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 || !known[fields[0]] {
			return nil, errors.Newf("line %d of the keys does not hold a customer of the questionnaire and a key", i+1)
		}
		keys[fields[1]] = fields[0]
	}
	return keys, nil
}

type applyCmd struct {
	streams
	client settings.Client
}

func (*applyCmd) Name() string                { return "apply" }
func (*applyCmd) Synopsis() string            { return "make a questionnaire the configuration of its deployment" }
func (c *applyCmd) SetFlags(fs *flag.FlagSet) { c.client.Register(fs) }
func (c *applyCmd) Validate() settings.Errors { return c.client.Validate() }
func (*applyCmd) Args() (least, most int)     { return 1, 1 }

func (*applyCmd) Usage() string {
	return `questionnaire apply [flags] <file>

Checks the questionnaire and makes it the configuration of its deployment; -
reads standard input. With mistakes nothing is changed. Waits until the change
is in force everywhere; otherwise lists the instances that have not confirmed
it and exits with status 1.
`
}

func (c *applyCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := c.read(fs.Arg(0))
	if err != nil {
		return fail(c.streams, err)
	}
	if mistakes := questionnaire.Check(text); len(mistakes) > 0 {
		c.printMistakes(fs.Arg(0), mistakes)
		return subcommands.ExitFailure
	}
	client, err := newAdminClient(&c.client)
	if err != nil {
		return fail(c.streams, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.client.Timeout)
	defer cancel()
	resp, err := client.Apply(ctx, &admin.ApplyRequest{Questionnaire: string(text)})
	if err != nil {
		return fail(c.streams, err)
	}
	return c.reportApply(fs.Arg(0), resp)
}

func (c *applyCmd) reportApply(path string, resp *admin.ApplyResponse) subcommands.ExitStatus {
	if len(resp.Mistakes) > 0 {
		c.printMistakes(path, mistakesFrom(resp.Mistakes))
		return subcommands.ExitFailure
	}
	for _, n := range resp.Notices {
		fmt.Fprintln(c.err, "notice:", n)
	}
	if resp.Unchanged {
		fmt.Fprintln(c.err, "The configuration was like this already.")
	}
	return report(c.streams, resp.Status)
}

func mistakesFrom(list []*admin.Mistake) []questionnaire.Mistake {
	out := make([]questionnaire.Mistake, len(list))
	for i, m := range list {
		out[i] = questionnaire.Mistake{
			Line:       int(m.Line),
			Column:     int(m.Column),
			Field:      m.Field,
			Message:    m.Message,
			Suggestion: m.Suggestion,
		}
	}
	return out
}
