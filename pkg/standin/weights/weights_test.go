package weights_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuestep/fescuestep/pkg/standin/weights"
)

// TestSharedRate guards against a store in which more than two concurrent
// loads are as fast as one, so that nothing would be won by limiting them.
func TestSharedRate(t *testing.T) {
	load := func(n int) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			store := weights.NewStore(weights.Options{})
			var wg sync.WaitGroup
			start := time.Now()
			for range n {
				wg.Go(func() {
					if _, err := store.Fetch(context.Background(), "1", io.Discard); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			took = time.Since(start)
		})
		return took
	}
	one, two, four := load(1), load(2), load(4)
	t.Logf("virtual time of 1, 2 and 4 loads: %v, %v, %v", one, two, four)
	if two > one*11/10 {
		t.Errorf("two loads take %v, one takes %v: want about the same", two, one)
	}
	if four < one*18/10 {
		t.Errorf("four loads take %v, one takes %v: want about twice as long", four, one)
	}
}
