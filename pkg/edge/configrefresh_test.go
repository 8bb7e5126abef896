package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestLongReadOfConfigurationIsNotStartedAgain guards against an instance that never gets a large configuration, since each request that needs it ends the read of the one before.
func TestLongReadOfConfigurationIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads, adopted := 0, false
		c := &configRefresher{log: hclog.NewNullLogger(), read: func(ctx context.Context) error {
			reads++
			select {
			case <-time.After(2 * configRefreshWait):
				adopted = true
			case <-ctx.Done():
			}
			return ctx.Err()
		}}
		began := time.Now()
		for range 3 {
			if adopted {
				break
			}
			requestCtx, end := context.WithCancel(t.Context())
			c.refresh(requestCtx)
			end()
		}
		if waited := time.Since(began); !adopted || reads != 1 || waited > 2*configRefreshWait {
			t.Errorf("adopted %v after %v and %d reads", adopted, waited, reads)
		}
	})
}
