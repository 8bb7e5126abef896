package edge_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// releaseTrial is a fleet whose service "orders" has upstreams of two versions, with callers.
type releaseTrial struct {
	*testFleet
	t         *testing.T
	upstreams []*standin.Upstream // the first two are of the old version, the others of the new one
	instances []*testInstance
	stop      context.CancelFunc
	callers   sync.WaitGroup

	mu     sync.Mutex
	failed []reply
}

const releaseTime = 8 * time.Second

func newReleaseTrial(t *testing.T, instances int) *releaseTrial {
	fleet := newTestFleet(t, 1)
	fleet.bounds = release.Bounds{ExposureShare: 0.4, ExposureSlack: 50, RollbackTime: 5 * time.Second}
	fleet.orders.Unregister()
	trial := &releaseTrial{testFleet: fleet, t: t}
	for i, software := range []string{"v1", "v1", "v2", "v2"} {
		trial.upstreams = append(trial.upstreams, fleet.startUpstream(standin.Options{
			ID: []string{"old0", "old1", "new0", "new1"}[i], Service: "orders", Zone: "z1", Software: software, ServiceTime: 5 * time.Millisecond,
		}))
	}
	for i := range instances {
		trial.instances = append(trial.instances, fleet.startInstance([]string{"a", "b", "c", "d"}[i]))
	}
	return trial
}

// order writes the order of a rollout and begins the callers' traffic.
func (trial *releaseTrial) order() {
	trial.store.OrderRollout("orders", "v2", releaseTime)
	trial.begin()
}

// begin begins the callers' traffic at the present instances; end ends it.
func (trial *releaseTrial) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	trial.stop = cancel
	for _, instance := range trial.instances {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			path := map[string]string{http.MethodGet: "/read/x", http.MethodPost: "/orders/x"}[method]
			trial.callers.Go(func() {
				for ctx.Err() == nil {
					if _, got := instance.request(method, path, keyBig, ""); got.status != http.StatusOK {
						trial.mu.Lock()
						trial.failed = append(trial.failed, got)
						trial.mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	trial.t.Cleanup(trial.end)
}

func (trial *releaseTrial) end() {
	trial.stop()
	trial.callers.Wait()
}

// executed returns how many requests the upstreams of a version ran.
func (trial *releaseTrial) executed(software string) int {
	n := 0
	for _, u := range trial.upstreams {
		for _, r := range u.ReceivedRequests() {
			if u.Software == software && r.Executed {
				n++
			}
		}
	}
	return n
}

func (trial *releaseTrial) awaitState(state string) {
	trial.t.Helper()
	trial.await("the rollout is "+state, func() bool {
		history := trial.store.RolloutHistory("orders")
		return len(history) > 0 && history[len(history)-1].State == state
	})
}

// checkHistory fails the test unless the status went forward, once.
func (trial *releaseTrial) checkHistory(want ...string) {
	trial.t.Helper()
	var got []string
	for _, status := range trial.store.RolloutHistory("orders") {
		if len(got) == 0 || got[len(got)-1] != status.State {
			got = append(got, status.State)
		}
	}
	if len(got) != len(want) {
		trial.t.Errorf("status history %v, want %v", got, want)
		return
	}
	for i := range want {
		if got[i] != want[i] {
			trial.t.Errorf("status history %v, want %v", got, want)
		}
	}
}

// fail makes the upstreams of the new version fail some requests.
func (trial *releaseTrial) fail() {
	for _, u := range trial.upstreams[2:] {
		u.SetErrorEvery(2)
	}
}

// awaitNoNew waits until the new version has got no request for a while, and fails the test
// if it gets one afterwards.
func (trial *releaseTrial) awaitNoNew() {
	trial.t.Helper()
	last := -1
	trial.await("the new version gets no requests", func() bool {
		before := last
		last = trial.executed("v2")
		time.Sleep(500 * time.Millisecond)
		return last > 0 && last == before
	})
	time.Sleep(time.Second)
	if n := trial.executed("v2"); n != last {
		trial.t.Errorf("the new version got %d more requests after the rollback", n-last)
	}
}

// TestGoodReleaseIsCompleted guards against a good version that is not completed, requests that run at old upstreams when these are stopped, and requests that go there afterwards.
func TestGoodReleaseIsCompleted(t *testing.T) {
	trial := newReleaseTrial(t, 3)
	interrupted := make(chan int, 1)
	go func() { interrupted <- trial.store.ActOnRollout(t.Context(), "orders", trial.upstreams) }()
	trial.order()
	trial.awaitState("completed")
	if n := <-interrupted; n > 0 {
		t.Errorf("%d requests ran at old upstreams when the status was completed", n)
	}
	before := trial.executed("v1")
	time.Sleep(500 * time.Millisecond)
	trial.end()
	if n := trial.executed("v1") - before; n > 0 {
		t.Errorf("%d requests went to the old version after its end", n)
	}
	if len(trial.failed) > 0 {
		t.Errorf("%d requests were not served, the first one: %+v", len(trial.failed), trial.failed[0])
	}
	trial.checkHistory("running", "completed")
}

// TestBadReleaseIsRolledBackWithoutTheStore guards against a verdict that waits for the store, and one that is not written when the store is back.
func TestBadReleaseIsRolledBackWithoutTheStore(t *testing.T) {
	trial := newReleaseTrial(t, 3)
	trial.order()
	trial.awaitState("running")
	trial.store.SetDown(true)
	trial.fail()
	trial.awaitNoNew()
	trial.store.SetDown(false)
	trial.awaitState("rolled_back")
	trial.end()
	trial.checkHistory("running", "rolled_back")
	exposed, all := trial.executed("v2"), trial.executed("v1")+trial.executed("v2")
	if half := 0.2*float64(all) + 25; float64(exposed) > half {
		t.Errorf("%d of %d requests went to the bad version, half of the bound is %.0f", exposed, all, half)
	}
}

// TestLeaderEndsBeforeItWritesTheVerdict guards against a verdict that only the leader writes.
func TestLeaderEndsBeforeItWritesTheVerdict(t *testing.T) {
	trial := newReleaseTrial(t, 3)
	trial.order()
	trial.awaitState("running")
	trial.store.SetDown(true)
	trial.fail()
	trial.awaitNoNew()
	trial.end()
	leader := trial.leader()
	leader.stop()
	<-leader.done
	leader.done <- nil
	trial.store.SetDown(false)
	trial.awaitState("rolled_back")
	trial.checkHistory("running", "rolled_back")
}

// leader returns the instance that wrote the first record.
func (trial *releaseTrial) leader() *testInstance {
	for _, instance := range trial.instances {
		if instance.logged("record of a rollout written") {
			return instance
		}
	}
	trial.t.Fatal("no instance has written a record")
	return nil
}

// TestRestartOfAllInstances guards against a verdict that is forgotten or repeated by instances that all start again.
func TestRestartOfAllInstances(t *testing.T) {
	trial := newReleaseTrial(t, 2)
	trial.order()
	trial.awaitState("running")
	trial.fail()
	trial.awaitState("rolled_back")
	trial.end()
	before := trial.executed("v2")
	trial.restart()
	trial.begin()
	time.Sleep(2 * time.Second)
	trial.end()
	if n := trial.executed("v2") - before; n > 0 {
		t.Errorf("%d requests went to the version that was rolled back", n)
	}
	trial.checkHistory("running", "rolled_back")
}

// restart stops all instances and starts as many under the same names.
func (trial *releaseTrial) restart() {
	for i, instance := range trial.instances {
		instance.stop()
		<-instance.done
		instance.done <- nil
		defer func() { trial.instances[i] = trial.startInstance(instance.options.Name) }()
	}
}

// TestRestartOfAllInTheMiddle guards against a rollout that ends with the instances that began it.
func TestRestartOfAllInTheMiddle(t *testing.T) {
	trial := newReleaseTrial(t, 2)
	trial.order()
	trial.awaitState("running")
	time.Sleep(time.Second)
	trial.end()
	trial.restart()
	trial.begin()
	trial.awaitState("completed")
	trial.checkHistory("running", "completed")
}

// TestWithdrawnRelease guards against an order that goes on after the operator has withdrawn it.
func TestWithdrawnRelease(t *testing.T) {
	trial := newReleaseTrial(t, 2)
	trial.order()
	trial.awaitState("running")
	trial.store.Delete("op", "rollout/orders")
	trial.awaitState("rolled_back")
	trial.checkHistory("running", "rolled_back")
}

// logged reports whether the instance has logged a message.
func (instance *testInstance) logged(message string) bool {
	return strings.Contains(instance.log.String(), message)
}
