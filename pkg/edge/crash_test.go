package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	crashPart = "dead"
	// crashesCounted is the number of crashes under one part from which the rule counts.
	crashesCounted = 5
	// mayReachLater is how many requests with the part may still reach upstreams later.
	mayReachLater = 3
	// settleTime is how long after the last counted crash the rule binds.
	settleTime = 3 * time.Second
)

// crashFleet is a fleet whose engines end at prompts with crashPart.
type crashFleet struct {
	*testFleet
	instances []*testInstance // that prompts are sent to
	started   []*testInstance
	prompts   int
}

func newCrashFleet(t *testing.T, engines, instances int) *crashFleet {
	fleet := &crashFleet{testFleet: newTestFleet(t, 0)}
	for i := range engines {
		fleet.engines = append(fleet.engines, fleet.startUpstream(standin.Options{
			ID: fmt.Sprintf("c%d", i), Service: "llm", Zone: "z1", Model: "m", EventsPerStream: 5,
			CrashPart: crashPart, RestartTime: time.Second,
		}))
	}
	for i := range instances {
		fleet.startNext(i)
	}
	t.Cleanup(fleet.logCrashes)
	return fleet
}

// logCrashes prints what the instances logged of crashes if the test has failed.
func (fleet *crashFleet) logCrashes() {
	if !fleet.t.Failed() {
		return
	}
	for _, instance := range fleet.started {
		for line := range strings.Lines(instance.log.String()) {
			if strings.Contains(line, `"@module":"crashes"`) || strings.Contains(line, "attempt failed") {
				fleet.t.Log(instance.options.Name, line)
			}
		}
	}
}

func (fleet *crashFleet) startNext(i int) {
	var seeds []string
	if i > 0 {
		seeds = []string{fleet.instances[0].options.ControlAddr.String()}
	}
	instance := fleet.startInstance(fmt.Sprintf("n%d", i), seeds...)
	fleet.instances = append(fleet.instances, instance)
	fleet.started = append(fleet.started, instance)
}

// send sends a prompt of its own last part, with the shared parts, to the next instance.
func (fleet *crashFleet) send(path string, shared ...string) reply {
	fleet.prompts++
	instance := fleet.instances[fleet.prompts%len(fleet.instances)]
	return instance.sendParts(path, append(shared, fmt.Sprintf("own%d", fleet.prompts))...)
}

// sendParts sends a prompt with parts; the last one is its own.
func (instance *testInstance) sendParts(path string, parts ...string) reply {
	prefix := strings.Join(parts, ":100,") + ":100"
	_, got := instance.request(http.MethodPost, path, keyBig, "prompt", "Model-Name", "m", "Token-Count", "2,1", "Prompt-Prefix", prefix)
	return got
}

func (fleet *crashFleet) crashes() int {
	n := 0
	for _, e := range fleet.engines {
		n += e.Crashes()
	}
	return n
}

// reached returns how many requests with crashPart have reached engines.
func (fleet *crashFleet) reached() int {
	n := 0
	for _, e := range fleet.engines {
		for _, a := range e.ReceivedRequests() {
			if strings.Contains(a.Header.Get("Prompt-Prefix"), crashPart) {
				n++
			}
		}
	}
	return n
}

// provoke sends prompts with crashPart between sound ones until crashesCounted engines
// have ended or none ends any more.
func (fleet *crashFleet) provoke(path string) {
	for range 40 {
		fleet.send(path, "first", crashPart)
		fleet.send(path, "first")
		if fleet.crashes() >= crashesCounted {
			break
		}
	}
	time.Sleep(settleTime)
}

// TestCrashingPartReachesFewEngines guards against one part of prompts that ends engine after engine.
func TestCrashingPartReachesFewEngines(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/long/", "/short/"} {
		fleet := newCrashFleet(t, 8, 3)
		fleet.provoke(path)
		before := fleet.reached()
		for range 30 {
			if got := fleet.send(path, "first", crashPart); got.status == http.StatusOK && got.err == nil {
				t.Errorf("%s: a prompt with the part was answered: %+v", path, got)
			}
		}
		if n := fleet.reached() - before; n > mayReachLater {
			t.Errorf("%s: %d prompts with the part reached engines later, want at most %d; %d crashes in all", path, n, mayReachLater, fleet.crashes())
		}
	}
}

// TestSoundPromptsBesideCrashingPart guards against refusing sound prompts that share the caller and other parts.
func TestSoundPromptsBesideCrashingPart(t *testing.T) {
	t.Parallel()
	fleet := newCrashFleet(t, 8, 3)
	fleet.provoke("/long/")
	time.Sleep(settleTime)
	served := 0
	for range 40 {
		fleet.send("/long/", "first", crashPart)
		if got := fleet.send("/long/", "first"); got.status == http.StatusOK && got.err == nil {
			served++
		}
	}
	if served < 20 {
		t.Errorf("%d of 40 sound prompts served, want half at least", served)
	}
}

// TestErrorsOfUpstreamsHideNoCrashingPart guards against upstreams in trouble whose error answers clear a part that ends them.
func TestErrorsOfUpstreamsHideNoCrashingPart(t *testing.T) {
	t.Parallel()
	fleet := newCrashFleet(t, 8, 3)
	for _, e := range fleet.engines {
		e.SetErrorEvery(2)
	}
	fleet.provoke("/long/")
	before := fleet.reached()
	for range 40 {
		fleet.send("/long/", "first", crashPart)
		fleet.send("/long/", "first")
		time.Sleep(50 * time.Millisecond)
	}
	if n := fleet.reached() - before; n > mayReachLater {
		t.Errorf("%d prompts with the part reached engines later, want at most %d; %d crashes in all", n, mayReachLater, fleet.crashes())
	}
}

// TestStartedInstanceKnowsCrashingPart guards against an instance that starts later and ends engines again.
func TestStartedInstanceKnowsCrashingPart(t *testing.T) {
	t.Parallel()
	fleet := newCrashFleet(t, 8, 2)
	fleet.provoke("/long/")
	before := fleet.reached()
	fleet.startNext(2)
	fleet.instances = fleet.instances[2:]
	for range 10 {
		fleet.send("/long/", "first", crashPart)
	}
	if n := fleet.reached() - before; n > mayReachLater {
		t.Errorf("%d prompts with the part reached engines through the new instance", n)
	}
}

// TestRestartOfAllKeepsQuarantine guards against a restart of all instances that ends engines again.
func TestRestartOfAllKeepsQuarantine(t *testing.T) {
	t.Parallel()
	fleet := newCrashFleet(t, 8, 2)
	fleet.provoke("/long/")
	fleet.send("/long/", "first", crashPart) // ends the sixth, 3 s after the others
	fleet.stopAll()
	before := fleet.reached()
	fleet.startNext(0)
	for range 10 {
		fleet.send("/long/", "first", crashPart)
	}
	if n := fleet.reached() - before; n > mayReachLater {
		t.Errorf("%d prompts with the part reached engines after a restart of all instances", n)
	}
}

// TestCrashingPartUnderLoad guards against instances that learn too late from each other while prompts come at all of them at once.
func TestCrashingPartUnderLoad(t *testing.T) {
	t.Parallel()
	fleet := newCrashFleet(t, 12, 6)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sound, served atomic.Int64
	for i, instance := range fleet.instances {
		wg.Go(func() {
			for n := 0; !isClosed(stop); n++ {
				instance.sendParts("/long/", "first", crashPart, fmt.Sprintf("bad%d-%d", i, n))
				time.Sleep(40 * time.Millisecond)
			}
		})
		wg.Go(func() {
			for n := 0; !isClosed(stop); n++ {
				got := instance.sendParts("/long/", "first", fmt.Sprintf("own%d-%d", i, n))
				sound.Add(1)
				if got.status == http.StatusOK && got.err == nil {
					served.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	fleet.await("engines end", func() bool { return fleet.crashes() > 0 })
	time.Sleep(settleTime)
	before := fleet.reached()
	time.Sleep(settleTime)
	sound.Store(0)
	served.Store(0)
	time.Sleep(settleTime)
	close(stop)
	wg.Wait()
	if n := fleet.reached() - before; n > mayReachLater {
		t.Errorf("%d prompts with the part reached engines later; %d crashes in all", n, fleet.crashes())
	}
	if served.Load() < sound.Load()/2 || sound.Load() < 20 {
		t.Errorf("%d of %d sound prompts served", served.Load(), sound.Load())
	}
	t.Logf("%d crashes, %d of %d sound prompts served later", fleet.crashes(), served.Load(), sound.Load())
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
