package edge

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"
)

// configRefreshWait limits how long a request waits for a read of the configuration.
const configRefreshWait = 300 * time.Millisecond

// configRefresher reads the configuration that is in force for requests that wait for it.
type configRefresher struct {
	read  func(context.Context) error // bounds its time
	log   hclog.Logger
	reads singleflight.Group
}

// refresh waits until the configuration has been read, configRefreshWait has passed or ctx
// has ended. Requests share a read that runs. One that takes longer goes on, for those that
// come later.
func (c *configRefresher) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configRefreshWait)
	defer cancel()
	done := c.reads.DoChan("", func() (any, error) { return nil, c.read(context.WithoutCancel(ctx)) })
	var err error
	select {
	case result := <-done:
		err = result.Err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		c.log.Info("cannot read the configuration by which another instance took a request", "error", err)
	}
}
