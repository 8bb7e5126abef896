package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestLongReadOfConfigurationIsNotStartedAgain guards against an instance that never gets a large configuration, since each request that needs it ends the read of the one before.
func TestLongReadOfConfigurationIsNotStartedAgain(t *testing.T) {
	const readTime = configRefreshWait * 3 / 2
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int32
		var adopted atomic.Bool
		c := &configRefresher{log: hclog.NewNullLogger(), read: func(ctx context.Context) error {
			reads.Add(1)
			select {
			case <-time.After(readTime):
				adopted.Store(true)
			case <-ctx.Done():
			}
			return ctx.Err()
		}}
		began := time.Now()
		for range 2 {
			requestCtx, end := context.WithCancel(t.Context())
			c.refresh(requestCtx)
			end()
		}
		waited := time.Since(began)
		if !adopted.Load() || reads.Load() != 1 || waited != readTime {
			t.Errorf("adopted %v after %v and %d reads", adopted.Load(), waited, reads.Load())
		}
	})
}
