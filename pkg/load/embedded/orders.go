package embedded

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/controller/configsync"
)

// orderInterval is the time between two orders of one system.
const orderInterval = 500 * time.Millisecond

// sendOrders sends every order twice at the same time, through two instances,
// as a caller does that lost the first answer.
func (s *System) sendOrders() {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		var group sync.WaitGroup
		for copies := range 2 {
			group.Go(func() { s.order(number, number+copies) })
		}
		group.Wait()
	}
}

func (s *System) order(number, instance int) {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	body := strings.NewReader(fmt.Sprintf(`{"item":"card","number":%d}`, number))
	url := s.URLs[instance%len(s.URLs)] + "/" + orderApplication + "/orders"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("order-%d", number))
	req.Header.Set("Authorization", "Bearer "+s.callers.spares[0])
	resp, err := s.Client.Do(req)
	if err != nil {
		return // an instance that restarts; the other copy counts
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// revoke revokes the customer's first key; its callers then use the spare one.
func (s *System) revoke(ctx context.Context, customer int) {
	s.revoked[customer].Store(true)
	key := s.callers.keys[customer]
	key.Revoked = true
	_ = configsync.Append(ctx, s.fleet.Platform.Table.Store, config.Change{Key: &key}) // fails only while the table is down
}
