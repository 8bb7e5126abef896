package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// routeTo makes the route of the streams lead to services in equal parts.
func (fleet *versionFleet) routeTo(services ...string) {
	split := make([]routing.WeightedService, 0, len(services))
	for _, name := range services {
		split = append(split, routing.WeightedService{Service: name, Weight: 1})
	}
	for i, route := range fleet.config.Routes {
		if route.Name == "short" {
			fleet.config.Routes[i].Split = split
		}
	}
	fleet.applyConfig()
}

// newSplitFleet is a fleet with two services of two engines each, all of one version, and
// two instances. The route of the streams leads to some of the services.
func newSplitFleet(t *testing.T, services ...string) *versionFleet {
	fleet := newVersionFleet(t, 0, oldSoftware)
	for _, id := range []string{"b-0", "b-1"} {
		fleet.engines = append(fleet.engines, fleet.startUpstream(standin.Options{
			ID: id, Service: "llm-b", Zone: "z1", Model: "m", Software: oldSoftware, EventsPerStream: versionEvents, EventGap: versionEventGap,
		}))
	}
	fleet.config.Services = append(fleet.config.Services, routing.Service{
		Name: "llm-b", ConnLimit: 100, Engine: &routing.Engine{Slots: 64, KVTokens: 100000, Models: []string{"m"}},
	})
	fleet.routeTo(services...)
	fleet.startInstances(2)
	return fleet
}

// serviceOf returns the service at which a request ran; empty: none.
func (fleet *versionFleet) serviceOf(id string) string {
	for _, e := range fleet.engines {
		for _, r := range e.ReceivedRequests() {
			if r.ID == id && r.Executed {
				return e.Service
			}
		}
	}
	return ""
}

// TestStreamsOfSplitRouteGoOnElsewhere guards against streams that are refused at every instance but the one that relayed them, since their route is split between services of one software version each.
func TestStreamsOfSplitRouteGoOnElsewhere(t *testing.T) {
	t.Parallel()
	fleet := newSplitFleet(t, "llm", "llm-b")
	streams := fleet.beginAtOnce(fleet.instances[0], 20)
	time.Sleep(50 * time.Millisecond)
	for _, stream := range streams {
		id, got := fleet.takeUp(fleet.instances[1], stream)
		if got.status != http.StatusOK || fleet.serviceOf(id) != fleet.serviceOf(stream) {
			t.Errorf("a stream of %s: status %d, ran at %q", fleet.serviceOf(stream), got.status, fleet.serviceOf(id))
		}
	}
}

// TestStreamsThatBeganBeforeTheSplitGoOn guards against losing streams that began while their route led to one service and are taken up after it is split.
func TestStreamsThatBeganBeforeTheSplitGoOn(t *testing.T) {
	t.Parallel()
	fleet := newSplitFleet(t, "llm")
	streams := fleet.beginAtOnce(fleet.instances[0], 10)
	fleet.routeTo("llm", "llm-b")
	time.Sleep(settleTime)
	if wentOn := fleet.takeUpAtOnce(fleet.instances[1], streams); wentOn < len(streams) {
		t.Errorf("%d of %d streams went on, although their service serves", wentOn, len(streams))
	}
}

// TestStreamsOfMovedRouteJoinNoTwoServices guards against an instance that takes a stream for one of the service to which its route has moved since, also after a restart of all.
func TestStreamsOfMovedRouteJoinNoTwoServices(t *testing.T) {
	t.Parallel()
	for name, restarted := range map[string]bool{"running": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newSplitFleet(t, "llm")
			streams := fleet.beginAtOnce(fleet.instances[0], 10)
			fleet.routeTo("llm-b")
			time.Sleep(settleTime + time.Second) // the row of the services is written each second
			if restarted {
				fleet.restartAll()
			}
			for _, stream := range streams {
				id, got := fleet.takeUp(fleet.last(), stream)
				if got.status != http.StatusServiceUnavailable || fleet.serviceOf(id) != "" {
					t.Errorf("a stream of %s: status %d, ran at %q", fleet.serviceOf(stream), got.status, fleet.serviceOf(id))
				}
			}
			if id, got := fleet.last().prompt("/short/", keyBig); got.status != http.StatusOK || fleet.serviceOf(id) != "llm-b" {
				t.Errorf("a new stream: status %d at %q", got.status, fleet.serviceOf(id))
			}
		})
	}
}
