// Package local runs the platform stand-ins, the upstreams of several
// deployments and router instances in one process on loopback addresses. The
// demo, the load tool and whole-path tests share it.
package local

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/fescuestep/fescuestep/examples"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/instance"
	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/pkg/quota"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// Credentials of the instances. They protect nothing: all listeners are on
// loopback and live as long as the process.
const (
	AdminCredential = "local-admin-credential"
	peerCredential  = "local-peer-credential"
)

const loopback = "127.0.0.1:0"

// Site is a router instance to start.
type Site struct {
	ID     string
	Domain string // failure domain
}

// Options of a Cluster.
type Options struct {
	Deployments []standin.Config // with the name of an example questionnaire
	Sites       []Site
	Policy      string        // of endpoint choice; empty for the product's
	DrainDelay  time.Duration // of instances that stop
	Scale       host.Scale    // of the stand-ins' times
	Platform    standin.PlatformOptions
	Log         hclog.Logger
}

// Cluster is a running set of stand-ins and router instances.
type Cluster struct {
	Platform *standin.Platform
	Fleets   map[string]*standin.Fleet // by deployment
	options  Options

	mu    sync.Mutex
	nodes []*Node
}

// Node is a running router instance.
type Node struct {
	Site     Site
	Instance *instance.Instance
	URL      string // of the callers' listener
	Admin    admin.Admin
	AdminURL string

	cluster *Cluster
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// Start starts everything and waits until all instances are ready with the
// example questionnaires applied.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	c := &Cluster{options: o, Fleets: map[string]*standin.Fleet{}}
	var err error
	if c.Platform, err = standin.StartPlatform(o.Platform, o.Scale); err != nil {
		return nil, err
	}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	for _, d := range c.options.Deployments {
		if err := c.startFleet(d); err != nil {
			return errors.Wrapf(err, "deployment %s", d.Name)
		}
	}
	for _, s := range c.options.Sites {
		if _, err := c.StartNode(s); err != nil {
			return errors.Wrapf(err, "instance %s", s.ID)
		}
	}
	if err := c.waitFor(ctx, "fresh instances", (*Node).fresh); err != nil {
		return err
	}
	if err := c.settle(ctx); err != nil {
		return err
	}
	for _, d := range c.options.Deployments {
		if err := c.apply(ctx, d.Name); err != nil {
			return errors.Wrapf(err, "questionnaire %s", d.Name)
		}
	}
	return c.waitFor(ctx, "ready instances", (*Node).ready)
}

// startFleet starts the upstreams of a deployment. Engines start with the
// weights that the questionnaire wants.
func (c *Cluster) startFleet(d standin.Config) error {
	generated, err := questionnaire.Build(examples.All()[d.Name])
	if err != nil {
		return err
	}
	d.Platform, d.Scale = c.Platform, c.options.Scale
	pools := append([]standin.Pool(nil), d.Pools...)
	for i := range pools {
		adjust(&pools[i], generated)
	}
	d.Pools = pools
	c.Fleets[d.Name], err = standin.Start(d)
	return err
}

func adjust(p *standin.Pool, d *config.Deployment) {
	for i := range d.Pools {
		if d.Pools[i].Name == p.Name && p.Engine.Weights == "" {
			p.Engine.Weights = d.Pools[i].Weights
		}
	}
	for _, a := range d.Applications {
		if a.Pool != p.Name {
			continue
		}
		for _, r := range a.Routes {
			if r.OrderHeader != "" {
				p.Orders.KeyHeaders = append(p.Orders.KeyHeaders, r.OrderHeader)
			}
			if r.OrderField != "" {
				p.Orders.KeyFields = append(p.Orders.KeyFields, r.OrderField)
			}
		}
	}
	p.Orders.KeyHeaders = append(p.Orders.KeyHeaders, "Idempotency-Key")
}

// settleMargin covers the ticks of the quota controllers.
const settleMargin = 200 * time.Millisecond

// settle waits until the membership is accepted and a lease has passed.
// Customers that are new after that start with their whole burst; before, the
// shares of starting instances are empty.
func (c *Cluster) settle(ctx context.Context) error {
	err := c.waitFor(ctx, "an accepted membership", func(n *Node) bool {
		resp, err := n.Admin.Revision(ctx, &admin.RevisionRequest{})
		return err == nil && resp.GetStatus().GetInForce()
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(quota.LeaseDuration + settleMargin):
		return nil
	}
}

func (c *Cluster) apply(ctx context.Context, name string) error {
	resp, err := c.Nodes()[0].Admin.Apply(ctx, &admin.ApplyRequest{Questionnaire: string(examples.All()[name])})
	if err != nil {
		return err
	}
	if len(resp.Mistakes) > 0 {
		return errors.Newf("line %d: %s", resp.Mistakes[0].Line, resp.Mistakes[0].Message)
	}
	if !resp.GetStatus().GetInForce() {
		return errors.Newf("not in force: %s", resp.GetStatus().GetExplanation())
	}
	return nil
}

// StartNode starts a router instance and enters it in the platform's list.
func (c *Cluster) StartNode(s Site) (*Node, error) {
	i, err := instance.New(c.settings(s), instance.Options{Policy: c.options.Policy, Log: c.options.Log.Named(s.ID)})
	if err != nil {
		return nil, err
	}
	addrs := i.Addrs()
	n := &Node{
		Site:     s,
		Instance: i,
		URL:      "http://" + addrs.Callers,
		AdminURL: "http://" + addrs.Admin,
		cluster:  c,
		done:     make(chan struct{}),
	}
	n.Admin = admin.NewAdminProtobufClient(n.AdminURL, &http.Client{Transport: credential{}})
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	c.Platform.List.Store.Put(n.listed(external.Live))
	go func() {
		defer close(n.done)
		n.err = i.Run(ctx)
	}()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return n, nil
}

func (c *Cluster) settings(s Site) *settings.Serve {
	out := settings.DefaultServe()
	out.InstanceID, out.Domain = s.ID, s.Domain
	out.Callers.Addr, out.Peers.Addr, out.Admin.Addr, out.Metrics.Addr = loopback, loopback, loopback, loopback
	out.Advertise = loopback
	out.Table = "http://" + c.Platform.Table.Addr()
	out.Objects = "http://" + c.Platform.Objects.Addr()
	out.List = "http://" + c.Platform.List.Addr()
	out.PeerCredential, out.AdminCredential = peerCredential, AdminCredential
	out.DrainDelay = c.options.DrainDelay
	return out
}

// Nodes returns the instances that were started and not stopped.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node(nil), c.nodes...)
}

func (c *Cluster) forget(n *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.nodes {
		if x == n {
			c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
			return
		}
	}
}

const readyPoll = 20 * time.Millisecond

// waitFor polls until every instance meets the condition.
func (c *Cluster) waitFor(ctx context.Context, what string, met func(*Node) bool) error {
	for {
		waiting := ""
		for _, n := range c.Nodes() {
			if !met(n) {
				waiting = n.Site.ID
			}
		}
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s: %s", what, waiting)
		case <-time.After(readyPoll):
		}
	}
}

func (n *Node) fresh() bool { return n.Instance.Fresh() }

func (n *Node) ready() bool {
	resp, err := http.Get(n.URL + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK && n.fresh()
}

func (n *Node) listed(state external.State) external.Instance {
	return external.Instance{
		ID:     n.Site.ID,
		Addr:   n.Instance.Addrs().Peers,
		Pool:   external.RouterPool,
		Domain: n.Site.Domain,
		State:  state,
	}
}

// Stop stops the instance gracefully, as the platform does: it is listed as
// leaving first. It returns after the last request has ended.
func (n *Node) Stop() error {
	n.cluster.Platform.List.Store.Put(n.listed(external.Leaving))
	n.cancel()
	<-n.done
	n.cluster.Platform.List.Store.Remove(n.Site.ID)
	n.cluster.forget(n)
	return n.err
}

// Close stops all instances and stand-ins.
func (c *Cluster) Close() {
	var group errgroup.Group
	for _, n := range c.Nodes() {
		group.Go(n.Stop)
	}
	if err := group.Wait(); err != nil {
		c.options.Log.Warn("instance did not stop cleanly", "error", err)
	}
	for _, f := range c.Fleets {
		f.Close()
	}
	c.Platform.Close()
}

// credential adds the administration credential to requests.
type credential struct{}

// RoundTrip implements http.RoundTripper.
func (credential) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+AdminCredential)
	return http.DefaultTransport.RoundTrip(r)
}
