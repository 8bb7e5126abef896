package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/pkg/settings"
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

type generateCmd struct{ streams }

func (*generateCmd) Name() string { return "generate" }
func (*generateCmd) Synopsis() string {
	return "print the configuration generated from a questionnaire"
}
func (*generateCmd) SetFlags(*flag.FlagSet)  {}
func (*generateCmd) Args() (least, most int) { return 1, 1 }

func (*generateCmd) Usage() string {
	return `questionnaire generate <file>

Prints the generated configuration as JSON; - reads standard input. The same
answers always give the same bytes. Nothing is changed.
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
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(d); err != nil {
		return fail(c.streams, err)
	}
	return subcommands.ExitSuccess
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
