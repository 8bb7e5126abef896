package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

func newKeyGroup(s streams) *group {
	return &group{
		name:     "key",
		synopsis: "create, revoke and list callers' keys",
		commands: []subcommands.Command{
			&keyCreateCmd{keyCmd: keyCmd{streams: s}},
			&keyRevokeCmd{keyCmd{streams: s}},
			&keyListCmd{keyCmd: keyCmd{streams: s}},
		},
	}
}

// keyCmd is what the key commands have in common.
type keyCmd struct {
	streams
	settings settings.Client
}

func (c *keyCmd) SetFlags(fs *flag.FlagSet) { c.settings.Register(fs) }
func (c *keyCmd) Validate() settings.Errors { return c.settings.Validate() }

// call runs do with a client, bounded by the timeout.
func (c *keyCmd) call(ctx context.Context, do func(context.Context, admin.Admin) (subcommands.ExitStatus, error)) subcommands.ExitStatus {
	client, err := newAdminClient(&c.settings)
	if err != nil {
		return fail(c.streams, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	status, err := do(ctx, client)
	if err != nil {
		return fail(c.streams, err)
	}
	return status
}

type keyCreateCmd struct {
	keyCmd
	team string
}

func (*keyCreateCmd) Name() string            { return "create" }
func (*keyCreateCmd) Synopsis() string        { return "create a key and print its secret once" }
func (*keyCreateCmd) Args() (least, most int) { return 1, 1 }

func (c *keyCreateCmd) SetFlags(fs *flag.FlagSet) {
	c.keyCmd.SetFlags(fs)
	fs.StringVar(&c.team, "team", "", "team of the customer that gets the key")
}

func (*keyCreateCmd) Usage() string {
	return `key create [flags] <customer>

Creates a key and prints its secret on standard output; everything else goes
to standard error. The secret can't be shown again: only its digest is stored.
`
}

func (c *keyCreateCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.call(ctx, func(ctx context.Context, client admin.Admin) (subcommands.ExitStatus, error) {
		resp, err := client.CreateKey(ctx, &admin.CreateKeyRequest{Customer: fs.Arg(0), Team: c.team})
		if err != nil {
			return 0, err
		}
		fmt.Fprintln(c.out, resp.Secret)
		fmt.Fprintf(c.err, "key %s of customer %s\n", resp.Key.GetId(), resp.Key.GetCustomer())
		return report(c.streams, resp.Status), nil
	})
}

type keyRevokeCmd struct{ keyCmd }

func (*keyRevokeCmd) Name() string            { return "revoke" }
func (*keyRevokeCmd) Synopsis() string        { return "revoke a key for good" }
func (*keyRevokeCmd) Args() (least, most int) { return 1, 1 }

func (*keyRevokeCmd) Usage() string {
	return `key revoke [flags] <key ID>

Revokes a key, also for streams in progress. Waits until no instance honours
it any more; otherwise lists the instances that have not confirmed and exits
with status 1. Revoking a key again is harmless and asks for confirmation
again.
`
}

func (c *keyRevokeCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.call(ctx, func(ctx context.Context, client admin.Admin) (subcommands.ExitStatus, error) {
		resp, err := client.RevokeKey(ctx, &admin.RevokeKeyRequest{Id: fs.Arg(0)})
		if err != nil {
			return 0, err
		}
		return report(c.streams, resp.Status), nil
	})
}

type keyListCmd struct {
	keyCmd
	customer string
}

func (*keyListCmd) Name() string     { return "list" }
func (*keyListCmd) Synopsis() string { return "list keys without their secrets" }

func (c *keyListCmd) SetFlags(fs *flag.FlagSet) {
	c.keyCmd.SetFlags(fs)
	fs.StringVar(&c.customer, "customer", "", "only keys of this customer")
}

func (*keyListCmd) Usage() string {
	return `key list [flags]

Lists keys by customer: ID, customer, team, time of creation and whether the
key is revoked.
`
}

func (c *keyListCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.call(ctx, func(ctx context.Context, client admin.Admin) (subcommands.ExitStatus, error) {
		resp, err := client.ListKeys(ctx, &admin.ListKeysRequest{Customer: c.customer})
		if err != nil {
			return 0, err
		}
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "ID\tCUSTOMER\tTEAM\tCREATED\tSTATE")
		for _, k := range resp.Keys {
			state := "valid"
			if k.Revoked {
				state = "revoked"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", k.Id, k.Customer, k.Team, k.Created, state)
		}
		return subcommands.ExitSuccess, w.Flush()
	})
}
