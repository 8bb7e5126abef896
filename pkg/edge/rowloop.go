package edge

import (
	"context"
	"time"

	"github.com/fescuestep/fescuestep/pkg/state"
)

// rowRetryDelay is the pause between attempts to read rows.
const rowRetryDelay = 500 * time.Millisecond

// rowLoop has rows of the store written for as long as the instance runs.
type rowLoop struct {
	restored chan struct{} // the store may lack what was written
}

func newRowLoop() rowLoop { return rowLoop{make(chan struct{}, 1)} }

// writeAgain has all rows written again, since the store came back from an older copy.
func (l rowLoop) writeAgain() {
	select {
	case l.restored <- struct{}{}:
	default:
	}
}

// keep calls write at every interval until ctx ends, and forget before it when the store
// may lack what was written.
func (l rowLoop) keep(ctx context.Context, interval time.Duration, write func(context.Context), forget func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		write(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.restored:
			forget()
		case <-ticker.C:
		}
	}
}

// readRows reads a table of the store, again after each failure. It returns false if ctx
// ends first.
func readRows(ctx context.Context, store interface {
	Rows(ctx context.Context, table string) (state.Page, error)
}, table string) ([]state.Row, bool) {
	for ctx.Err() == nil {
		page, err := store.Rows(ctx, table)
		if err == nil {
			return page.Rows, true
		}
		sleep(ctx, rowRetryDelay)
	}
	return nil, false
}
