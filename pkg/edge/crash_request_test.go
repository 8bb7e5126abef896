package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	crashPath = "/read/crash"
	// requestCrashesCounted is the number of crashes under one request from which the rule
	// counts.
	requestCrashesCounted = 3
)

// newPlainCrashFleet returns a fleet of four plain upstreams that end at crashPath.
func newPlainCrashFleet(t *testing.T, instances int) *crashFleet {
	fleet := &crashFleet{testFleet: newTestFleet(t, 1)}
	fleet.orders.Unregister()
	for i := range 4 {
		fleet.engines = append(fleet.engines, fleet.startUpstream(standin.Options{
			ID: fmt.Sprintf("p%d", i), Service: "orders", Zone: "z1", ServiceTime: 20 * time.Millisecond,
			CrashPath: crashPath, CrashAfter: 60 * time.Millisecond, RestartTime: time.Second,
		}))
	}
	for i := range instances {
		fleet.startNext(i)
	}
	t.Cleanup(fleet.logCrashes)
	return fleet
}

// crashing sends the request that ends upstreams to the next instance.
func (fleet *crashFleet) crashing() reply {
	fleet.prompts++
	_, got := fleet.instances[fleet.prompts%len(fleet.instances)].request(http.MethodGet, crashPath, "", "")
	return got
}

// reachedByCrashing returns how many requests with crashPath have reached upstreams.
func (fleet *crashFleet) reachedByCrashing() int {
	n := 0
	for _, u := range fleet.engines {
		for _, r := range u.ReceivedRequests() {
			if r.Path == crashPath {
				n++
			}
		}
	}
	return n
}

// provokeByRequest sends the request until requestCrashesCounted upstreams have ended.
func (fleet *crashFleet) provokeByRequest() {
	fleet.await("three upstreams have ended", func() bool {
		fleet.crashing()
		return fleet.crashes() >= requestCrashesCounted
	})
	time.Sleep(settleTime)
}

// expectFewReach fails the test if the request reaches upstreams more often than allowed
// while it is sent for a time.
func (fleet *crashFleet) expectFewReach(d time.Duration) {
	fleet.t.Helper()
	before := fleet.reachedByCrashing()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := fleet.crashing(); got.status == http.StatusOK {
			fleet.t.Errorf("answered: %+v", got)
		}
	}
	if n := fleet.reachedByCrashing() - before; n > mayReachLater {
		fleet.t.Errorf("the request reached upstreams %d times later, want at most %d; %d crashes in all", n, mayReachLater, fleet.crashes())
	}
}

// TestCrashingRequestReachesFewUpstreams guards against one whole request, without a prompt, that ends upstream after upstream, and against refusing the sound requests beside it.
func TestCrashingRequestReachesFewUpstreams(t *testing.T) {
	t.Parallel()
	fleet := newPlainCrashFleet(t, 3)
	equal := keepCallingEqual(fleet.instances...)
	fleet.provokeByRequest()
	served := equal.served.Load()
	fleet.expectFewReach(10 * time.Second)
	equal.close()
	if n := equal.served.Load() - served; n < equal.sent.Load()/2 {
		t.Errorf("%d equal sound requests served, %d sent in all", n, equal.sent.Load())
	}
}

// TestRestartOfAllKeepsCrashingRequest guards against a restart of all instances, or one that starts later, that ends upstreams again.
func TestRestartOfAllKeepsCrashingRequest(t *testing.T) {
	t.Parallel()
	fleet := newPlainCrashFleet(t, 2)
	fleet.provokeByRequest()
	fleet.startNext(2)
	fleet.stopAll()
	fleet.startNext(0)
	fleet.expectFewReach(3 * time.Second)
}

// TestRestartsOfAllWhileTheStoreIsAwayKeepCrashingRequest guards against ends of upstreams that are forgotten each time the store is away when all instances stop.
func TestRestartsOfAllWhileTheStoreIsAwayKeepCrashingRequest(t *testing.T) {
	t.Parallel()
	fleet := newPlainCrashFleet(t, 2)
	fleet.provokeUpTo(2)
	time.Sleep(settleTime)
	for range 2 {
		fleet.store.SetDown(true)
		fleet.provokeUpTo(1)
		fleet.stopAll()
		fleet.store.SetDown(false)
		fleet.startNext(0)
		fleet.startNext(1)
		fleet.provokeUpTo(2)
		time.Sleep(settleTime)
	}
	if n := fleet.reachedByCrashing() - requestCrashesCounted; n > mayReachLater {
		t.Errorf("the request reached upstreams %d times after the third end, want at most %d; %d crashes in all", n, mayReachLater, fleet.crashes())
	}
}

// provokeUpTo sends the request until so many more upstreams have ended or it is refused
// ten times in a row.
func (fleet *crashFleet) provokeUpTo(crashes int) {
	want, refused := fleet.crashes()+crashes, 0
	for fleet.crashes() < want && refused < 10 {
		if refused++; fleet.crashing().status != http.StatusServiceUnavailable {
			refused = 0
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stopAll stops all instances and waits until they have stopped.
func (fleet *crashFleet) stopAll() {
	for _, instance := range fleet.instances {
		instance.stop()
	}
	for _, instance := range fleet.instances {
		fleet.await("the instance has stopped", func() bool { return strings.Contains(instance.log.String(), `"stopped"`) })
	}
	fleet.instances = nil
}

// equalCallers send equal requests.
type equalCallers struct {
	*callers
	sent, served atomic.Int64
}

// keepCallingEqual sends equal reads to each of the instances until close is called.
func keepCallingEqual(instances ...*testInstance) *equalCallers {
	c := &equalCallers{callers: &callers{statuses: map[int]int{}, done: make(chan struct{})}}
	for _, instance := range instances {
		c.wg.Go(func() {
			for !isClosed(c.done) {
				_, got := instance.request(http.MethodGet, "/read/equal", "", "")
				c.sent.Add(1)
				if got.status == http.StatusOK {
					c.served.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return c
}

func (c *equalCallers) close() { c.stop() }

// TestEqualSoundRequestsRunWhenUpstreamsEnd guards against blaming equal sound requests for upstreams that end one after the other for other reasons.
func TestEqualSoundRequestsRunWhenUpstreamsEnd(t *testing.T) {
	t.Parallel()
	fleet := newPlainCrashFleet(t, 3)
	c := keepCallingEqual(fleet.instances...)
	for range 4 {
		for _, u := range fleet.engines {
			u.Crash()
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	sent, served := c.sent.Load(), c.served.Load()
	time.Sleep(2 * time.Second)
	fleet.await("100 requests are sent after the crashes", func() bool { return c.sent.Load()-sent >= 100 })
	c.close()
	sent, served = c.sent.Load()-sent, c.served.Load()-served
	if served < sent*9/10 {
		t.Errorf("%d of %d equal sound requests served after the crashes; refusals of the whole test by second and reason: %v", served, sent, fleet.refusals())
	}
}

// refusals counts what the instances refused, by second and result.
func (fleet *crashFleet) refusals() map[string]int {
	out := map[string]int{}
	for _, instance := range fleet.started {
		for line := range strings.Lines(instance.log.String()) {
			var entry struct {
				Result string    `json:"result"`
				Code   int       `json:"code"`
				At     time.Time `json:"@timestamp"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Code > 0 {
				out[entry.At.Format("05")+" "+entry.Result]++
			}
		}
	}
	return out
}
