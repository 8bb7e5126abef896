package edge_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// idleRoutes returns routes with random names that get no requests.
func idleRoutes(n int, random *rand.Rand) []routing.Route {
	out := make([]routing.Route, n)
	for i := range out {
		name := fmt.Sprintf("%016x%016x%016x%016x", random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
		out[i] = routing.Route{
			Name: name, Host: name[:32] + ".example", Prefix: "/" + name + "/", Kind: routing.Safe, MaxAttempts: 2, Public: true,
			Split: []routing.WeightedService{{Service: "orders", Weight: 1}}, Timeout: 5 * time.Second,
		}
	}
	return out
}

// logLine is a line of an instance's log.
type logLine struct {
	Message string    `json:"@message"`
	At      time.Time `json:"@timestamp"`
	Version uint64    `json:"version"`
	Table   string    `json:"table"`
	Bytes   int64     `json:"bytes"`

	Upstream string `json:"upstream"`
}

// logLines returns the lines of the instance's log with a message.
func (instance *testInstance) logLines(message string) []logLine {
	var out []logLine
	for text := range strings.Lines(instance.log.String()) {
		var line logLine
		if strings.Contains(text, message) && json.Unmarshal([]byte(text), &line) == nil && line.Message == message {
			out = append(out, line)
		}
	}
	return out
}

// adoptedAt returns when the instance adopted a configuration that is as new as a version;
// zero: it has not.
func (instance *testInstance) adoptedAt(version uint64) time.Time {
	for _, line := range instance.logLines("configuration adopted") {
		if line.Version >= version {
			return line.At
		}
	}
	return time.Time{}
}

// largestShare returns the number of copies of tables of a size that were sent in all, and
// by the instance that sent most of them.
func largestShare(instances []*testInstance, minBytes int64) (all, most int) {
	for _, instance := range instances {
		copies := 0
		for _, line := range instance.logLines("state sent to an instance") {
			if line.Bytes >= minBytes {
				copies++
			}
		}
		all, most = all+copies, max(most, copies)
	}
	return all, most
}

// TestLargeConfigurationIsInForceInTimeOverNarrowLinks guards against changes of a large configuration that come late, or keep departures from coming in time, since all instances fetch them from the same few over narrow links.
func TestLargeConfigurationIsInForceInTimeOverNarrowLinks(t *testing.T) {
	const (
		instanceCount    = 24
		routeCount       = 1400
		changes          = 4
		changeInterval   = slowness * 1200 * time.Millisecond
		configApplyBound = slowness * 3 * time.Second
		drainBound       = 3 * time.Second
		maxCopiesOfOne   = 4 // per change
	)
	random := rand.New(rand.NewPCG(54, 1))
	fleet := newTestFleet(t, 1)
	fleet.network = newNarrowNetwork()
	base := fleet.config.Routes
	for _, domain := range []string{"z1", "z2"} {
		for range instanceCount / 2 {
			fleet.domain = domain
			fleet.instances = append(fleet.instances, fleet.startInstance(fmt.Sprint("n", len(fleet.instances))))
		}
	}
	time.Sleep(settleTime)
	var leaving []*standin.Upstream
	for i := range changes {
		leaving = append(leaving, fleet.startUpstream(standin.Options{ID: fmt.Sprint("l", i), Service: "orders", Zone: "z1"}))
	}
	time.Sleep(settleTime)
	acknowledged, left := map[uint64]time.Time{}, map[string]time.Time{}
	for i := range changes {
		fleet.config.Routes = append(base[:len(base):len(base)], idleRoutes(routeCount, random)...)
		fleet.applyConfig()
		acknowledged[fleet.config.Version] = time.Now()
		leaving[i].Unregister()
		left[leaving[i].ID] = time.Now()
		time.Sleep(changeInterval)
	}
	time.Sleep(configApplyBound)
	for version, at := range acknowledged {
		last, late := time.Duration(0), 0
		for _, instance := range fleet.instances {
			adopted := instance.adoptedAt(version)
			if adopted.IsZero() || adopted.Sub(at) > configApplyBound {
				late++
				continue
			}
			last = max(last, adopted.Sub(at))
		}
		t.Logf("configuration %d: %d of %d in time, the last of them after %v", version, instanceCount-late, instanceCount, last)
		if late > 0 {
			t.Errorf("configuration %d is not in force at %d of %d instances after %v", version, late, instanceCount, configApplyBound)
		}
	}
	for id, at := range left {
		if late := usedLate(fleet.instances, id, at.Add(drainBound)); late > 0 {
			t.Errorf("an upstream that left is in use at %d of %d instances after %v", late, instanceCount, drainBound)
		}
	}
	all, most := largestShare(fleet.instances, routeCount*10)
	t.Logf("%d copies of %d changes, %d of them from one instance", all, changes, most)
	if most > changes*maxCopiesOfOne {
		t.Errorf("one instance sent %d of %d copies of %d changes", most, all, changes)
	}
}

// usedLate returns at how many instances an upstream was still in use at a time.
func usedLate(instances []*testInstance, id string, at time.Time) int {
	late := 0
	for _, instance := range instances {
		removed := false
		for _, line := range instance.logLines("upstream removed") {
			removed = removed || (line.Upstream == id && line.At.Before(at))
		}
		if !removed {
			late++
		}
	}
	return late
}
