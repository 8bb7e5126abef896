package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/edge"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/release/play"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/platform"
)

func newRolloutGroup(s streams) *group {
	return &group{
		name:     "rollout",
		synopsis: "show rollouts of services' software, or play them",
		commands: []subcommands.Command{&rolloutStatusCmd{streams: s}, &rolloutPlayCmd{streams: s}},
	}
}

type rolloutStatusCmd struct {
	streams
	addr string
}

func (*rolloutStatusCmd) Name() string            { return "status" }
func (*rolloutStatusCmd) Synopsis() string        { return "show the state of rollouts of services' software" }
func (*rolloutStatusCmd) Args() (least, most int) { return 0, 0 }
func (*rolloutStatusCmd) Usage() string {
	return `rollout status [flags]

Asks one instance for the rollouts that it knows: phase, share of the requests
that the new version got, evidence per route, and what the next phase waits for.
`
}

func (c *rolloutStatusCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.addr, "instance-addr", "", "readiness address of the instance (IP:port); default: that of the settings file named by "+platform.SettingsVariable)
}

// Validate finds the address of the instance.
func (c *rolloutStatusCmd) Validate() settings.Errors {
	if c.addr == "" && os.Getenv(platform.SettingsVariable) != "" {
		loaded, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			return settings.Errors{err}
		}
		c.addr = loaded.ReadinessAddr.String()
	}
	if _, err := netip.ParseAddrPort(c.addr); err != nil {
		return settings.Errors{errors.Newf("-instance-addr must be IP:port, not %q", c.addr)}
	}
	return nil
}

const (
	rolloutStatusTimeout  = 5 * time.Second
	maxRolloutStatusBytes = 1 << 20
)

func (c *rolloutStatusCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, rolloutStatusTimeout)
	defer cancel()
	reports, err := fetchRollouts(ctx, c.addr)
	if err != nil {
		return fail(c.streams, err)
	}
	if len(reports) == 0 {
		fmt.Fprintln(c.out, "no rollout")
	}
	for _, r := range reports {
		printRollout(c.out, r)
	}
	return subcommands.ExitSuccess
}

func fetchRollouts(ctx context.Context, addr string) ([]release.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+edge.RolloutsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot ask the instance")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "cannot ask the instance")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the instance answered with status %d", resp.StatusCode)
	}
	var out []release.Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxRolloutStatusBytes)).Decode(&out)
	return out, errors.Wrap(err, "the answer of the instance is not valid")
}

func printRollout(w io.Writer, r release.Report) {
	share := 0.0
	if r.Requests > 0 {
		share = 100 * float64(r.Exposed) / float64(r.Requests)
	}
	fmt.Fprintf(w, "%s to %s: %s, %s of %s, %d of %d requests (%.1f%%) at the new version before the shift\n", r.Service, r.To, r.Phase,
		r.Elapsed.Round(time.Second), r.Duration, r.Exposed, r.Requests, share)
	if r.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", r.Reason)
	}
	if !r.Final && len(r.Waiting) > 0 {
		fmt.Fprintf(w, "waits for: %s\n", strings.Join(r.Waiting, "; "))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tOLD BAD\tOLD\tNEW BAD\tNEW\tEVIDENCE OF BAD ANSWERS\tOF SLOW ANSWERS\tROLLS BACK AT")
	for _, g := range r.Groups {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", g.Group, g.OldBad, g.OldAnswers, g.NewBad, g.NewAnswers, g.BadSum, g.SlowSum, g.Threshold)
	}
	_ = table.Flush() // fails only if the terminal has gone
}

type rolloutPlayCmd struct {
	streams
	options play.Options
	seeds   int
	workers int
}

func (*rolloutPlayCmd) Name() string            { return "play" }
func (*rolloutPlayCmd) Synopsis() string        { return "play good and bad versions in virtual time" }
func (*rolloutPlayCmd) Args() (least, most int) { return 0, 0 }
func (*rolloutPlayCmd) Usage() string {
	return `rollout play [flags]

Plays rollouts of a good version and of eight kinds of bad ones at 9 and 81
instances in virtual time, without a network, and prints a table of what happened.
`
}

func (c *rolloutPlayCmd) SetFlags(fs *flag.FlagSet) {
	fs.IntVar(&c.seeds, "seeds", 20, "number of seeds per kind and number of instances")
	fs.IntVar(&c.workers, "workers", 2, "runs at the same time")
	fs.BoolVar(&c.options.Plain, "plain", false, "play a plain service instead of a model")
	fs.IntVar(&c.options.Upstreams, "upstreams", 80, "upstreams of each version")
	fs.Float64Var(&c.options.Rate, "rate", 600, "requests per second")
	fs.DurationVar(&c.options.Duration, "duration", time.Minute, "time from the order until the rollout should be completed")
}

// Validate checks the sizes.
func (c *rolloutPlayCmd) Validate() settings.Errors {
	if c.seeds < 1 || c.workers < 1 || c.options.Upstreams < 1 || c.options.Rate <= 0 || c.options.Duration < time.Second {
		return settings.Errors{errors.New("-seeds, -workers, -upstreams and -rate must be positive, and -duration at least 1s")}
	}
	return nil
}

func (c *rolloutPlayCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	play.Table(c.out, c.options, []int{9, 81}, c.seeds, c.workers)
	return subcommands.ExitSuccess
}
