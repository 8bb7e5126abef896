// Package demo shows the whole path: it starts stand-ins and router instances
// in one process, makes real calls over HTTP and checks each outcome.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/demo/script"
	"github.com/fescuestep/fescuestep/pkg/local"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// Sites returns the router instances of the demo, each in its own failure
// domain.
func Sites() []local.Site {
	return []local.Site{
		{ID: "router-rennes", Domain: "rennes"},
		{ID: "router-brest", Domain: "brest"},
		{ID: "router-ribe", Domain: "ribe"},
	}
}

// drainDelay is short because no load balancer has to notice.
const drainDelay = 200 * time.Millisecond

// Demo is a running demonstration.
type Demo struct {
	cluster *local.Cluster
	client  *http.Client
	out     io.Writer
	keys    map[string]*admin.CreateKeyResponse // by customer
}

// Start starts the stand-ins, the instances and one key for each customer that
// the steps use.
func Start(ctx context.Context, out io.Writer, log hclog.Logger) (*Demo, error) {
	cluster, err := local.Start(ctx, local.Options{
		Deployments: []standin.Config{standin.UCAB(), standin.Skovgaard()},
		Sites:       Sites(),
		DrainDelay:  drainDelay,
		Log:         log,
	})
	if err != nil {
		return nil, err
	}
	d := &Demo{cluster: cluster, client: &http.Client{}, out: out, keys: map[string]*admin.CreateKeyResponse{}}
	for _, customer := range []string{"shops", "parish-offices", "web-shop", "museums"} {
		if err := d.createKey(ctx, customer); err != nil {
			cluster.Close()
			return nil, errors.Wrapf(err, "key of %s", customer)
		}
	}
	return d, nil
}

func (d *Demo) createKey(ctx context.Context, customer string) error {
	resp, err := d.node(0).Admin.CreateKey(ctx, &admin.CreateKeyRequest{Customer: customer})
	if err != nil {
		return err
	}
	if !resp.GetStatus().GetInForce() {
		return errors.Newf("not in force: %s", resp.GetStatus().GetExplanation())
	}
	d.keys[customer] = resp
	return nil
}

// Close stops everything.
func (d *Demo) Close() {
	d.client.CloseIdleConnections()
	d.cluster.Close()
}

func (d *Demo) node(i int) *local.Node {
	nodes := d.cluster.Nodes()
	return nodes[i%len(nodes)]
}

var steps = []script.Step[*Demo]{
	{Name: "A long nested prompt, streamed twice", Run: (*Demo).repeatedPrompt},
	{Name: "The catalogue prompt serves all three former houses", Run: (*Demo).sharedCatalogue},
	{Name: "One order sent twice runs once", Run: (*Demo).repeatedOrder},
	{Name: "The old and the new order system send the same order", Run: (*Demo).twoOrderSystems},
	{Name: "An unknown key is refused", Run: (*Demo).unknownKey},
	{Name: "A customer over its rate is refused", Run: (*Demo).overRate},
	{Name: "A revoked key stops working on all instances", Run: (*Demo).revokedKey},
	{Name: "An instance stops under a running stream", Run: (*Demo).gracefulStop},
}

// Run makes all calls and prints an account of them.
func (d *Demo) Run(ctx context.Context) error { return script.Run(ctx, d.out, d, steps) }

// Describe prints the addresses and lines for curl.
func (d *Demo) Describe() {
	for _, n := range d.cluster.Nodes() {
		fmt.Fprintf(d.out, "%-14s failure domain %-7s callers %s  administration %s\n", n.Site.ID, n.Site.Domain, n.URL, n.AdminURL)
	}
	n := d.node(0)
	key := d.keys["shops"].GetSecret()
	fmt.Fprintf(d.out, `
Lines to paste:

  curl -sN %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"plume-greeting","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"A greeting for a wedding"}]}'
  curl -s %[1]s/orders-new/orders -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
    -d '{"order_number":"BZH-1","cards":40}'
  curl -s %[1]s/v1/models -H 'Authorization: Bearer %[2]s'
  curl -s %[3]s/twirp/fescuestep.admin.Admin/Instances -H 'Authorization: Bearer %[4]s' -H 'Content-Type: application/json' -d '{}'

`, n.URL, key, n.AdminURL, local.AdminCredential)
}
