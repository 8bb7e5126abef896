package edge_test

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	// oldSoftware and newSoftware are versions that serve side by side.
	oldSoftware = "v1"
	newSoftware = "v1.1"
	// versionEvents is the length of a stream, and versionEventGap the pause after an event.
	versionEvents   = 5
	versionEventGap = 20 * time.Millisecond
)

// versionFleet is a fleet with two engines of each of some software versions.
type versionFleet struct {
	*testFleet
	instances []*testInstance
}

func newVersionFleet(t *testing.T, instances int, software ...string) *versionFleet {
	fleet := &versionFleet{testFleet: newTestFleet(t, 0)}
	for _, version := range software {
		fleet.startEngines(version)
	}
	fleet.startInstances(instances)
	return fleet
}

// startEngines starts two engines of a software version.
func (fleet *versionFleet) startEngines(software string) {
	for i := range 2 {
		fleet.engines = append(fleet.engines, fleet.startUpstream(standin.Options{
			ID: fmt.Sprintf("%s-%d", software, i), Service: "llm", Zone: "z1", Model: "m", Software: software,
			EventsPerStream: versionEvents, EventGap: versionEventGap,
		}))
	}
}

// startInstances starts n instances that know each other.
func (fleet *versionFleet) startInstances(n int) {
	for range n {
		name := fmt.Sprint("n", len(fleet.instances))
		fleet.instances = append(fleet.instances, fleet.startInstance(name))
	}
	time.Sleep(settleTime)
}

// restartAll stops all instances and starts as many others.
func (fleet *versionFleet) restartAll() {
	stopped := fleet.instances
	for _, instance := range stopped {
		instance.stop()
	}
	for _, instance := range stopped {
		fleet.await("the instance has stopped", func() bool { return strings.Contains(instance.log.String(), `"stopped"`) })
	}
	fleet.startInstances(len(stopped))
}

func (fleet *versionFleet) last() *testInstance { return fleet.instances[len(fleet.instances)-1] }

// softwareOf returns the software versions at which a request ran.
func (fleet *versionFleet) softwareOf(id string) map[string]bool {
	out := map[string]bool{}
	for _, e := range fleet.engines {
		for _, r := range e.ReceivedRequests() {
			if r.ID == id && r.Executed {
				out[e.Software] = true
			}
		}
	}
	return out
}

// begin sends a request whose caller leaves after the first event, and returns its ID.
func (fleet *versionFleet) begin(instance *testInstance) string {
	id := nextID()
	req, err := http.NewRequest(http.MethodPost, "http://"+instance.options.CallerAddr.String()+"/short/", strings.NewReader("prompt"))
	if err != nil {
		fleet.t.Error(err)
		return id
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "5000", "Authorization": "Bearer " + keyBig, "Model-Name": "m", "Token-Count": "300,20", "Prompt-Prefix": promptOf(id),
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		fleet.t.Error(err)
		return id
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		fleet.t.Errorf("no event: status %d, %v", resp.StatusCode, err)
	}
	return id
}

// beginAtOnce begins n streams at once, so that they spread over the engines.
func (fleet *versionFleet) beginAtOnce(instance *testInstance, n int) []string {
	var wg sync.WaitGroup
	streams := make([]string, n)
	for i := range streams {
		wg.Go(func() { streams[i] = fleet.begin(instance) })
	}
	wg.Wait()
	return streams
}

// takeUpAtOnce goes on with streams and returns how many went on.
func (fleet *versionFleet) takeUpAtOnce(instance *testInstance, streams []string) int {
	fleet.t.Helper()
	var wg sync.WaitGroup
	var wentOn atomic.Int64
	for _, stream := range streams {
		wg.Go(func() {
			id, got := fleet.takeUp(instance, stream)
			if fleet.expectSameSoftware(stream, id, got) {
				wentOn.Add(1)
			}
		})
	}
	wg.Wait()
	return int(wentOn.Load())
}

// takeUp goes on with a stream after its first event.
func (fleet *versionFleet) takeUp(instance *testInstance, stream string) (string, reply) {
	return instance.request(http.MethodPost, "/short/", keyBig, "prompt", "Model-Name", "m", "Token-Count", "300,20",
		"Prompt-Prefix", promptOf(stream), "Last-Event-Id", "1", "Resumes", stream)
}

// promptOf returns the parts of a stream's prompt, which no other stream has, so that no engine is preferred for it.
func promptOf(stream string) string { return "a" + stream[1:] + ":200,bb:100" }

// expectSameSoftware fails the test if a stream went on at another version than the one
// that began it. It returns whether the stream went on.
func (fleet *versionFleet) expectSameSoftware(stream, id string, got reply) bool {
	fleet.t.Helper()
	began, wentOn := fleet.softwareOf(stream), fleet.softwareOf(id)
	for version := range wentOn {
		if !began[version] {
			fleet.t.Errorf("stream %s began at %v and went on at %s: status %d", stream, began, version, got.status)
		}
	}
	if got.status != http.StatusOK && (got.status != http.StatusServiceUnavailable || len(wentOn) > 0) {
		fleet.t.Errorf("stream %s: status %d, ran at %v", stream, got.status, wentOn)
	}
	return got.status == http.StatusOK
}

// TestStreamGoesOnAtItsSoftwareInOneAnswer guards against joining what two software versions write in one answer.
func TestStreamGoesOnAtItsSoftwareInOneAnswer(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 1, oldSoftware, newSoftware)
	const streams = 30
	whole := 0
	for i := range streams {
		cut := fleet.engines[i%len(fleet.engines)]
		cut.SetCutAfter(2)
		id, got := fleet.instances[0].prompt("/short/", keyBig)
		cut.SetCutAfter(0)
		if n := len(fleet.softwareOf(id)); n != 1 {
			t.Errorf("stream %s holds events of %d versions", id, n)
		}
		if got.status == http.StatusOK && got.err == nil && got.body == streamBody(id, versionEvents) {
			whole++
		}
	}
	if whole < streams*9/10 {
		t.Errorf("%d of %d streams are whole, although another engine of their version serves", whole, streams)
	}
}

// TestTakenUpStreamGoesOnAtItsSoftware guards against joining what two software versions write when callers take up streams at another instance, or at one that starts later.
func TestTakenUpStreamGoesOnAtItsSoftware(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 2, oldSoftware, newSoftware)
	const streams = 30
	began := fleet.beginAtOnce(fleet.instances[0], streams)
	time.Sleep(50 * time.Millisecond)
	if wentOn := fleet.takeUpAtOnce(fleet.instances[1], began); wentOn < streams*9/10 {
		t.Errorf("%d of %d streams went on, although both versions serve", wentOn, streams)
	}
	stream := fleet.begin(fleet.instances[0])
	fleet.startInstances(1)
	id, got := fleet.takeUp(fleet.last(), stream)
	if !fleet.expectSameSoftware(stream, id, got) {
		t.Errorf("an instance that has just started: %+v", got)
	}
}

// TestStreamThatBeganBeforeTheNewSoftwareGoesOn guards against losing streams that began while one version served and are taken up beside another.
func TestStreamThatBeganBeforeTheNewSoftwareGoesOn(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 2, oldSoftware)
	streams := fleet.beginAtOnce(fleet.instances[0], 10)
	fleet.startEngines(newSoftware)
	time.Sleep(settleTime)
	if wentOn := fleet.takeUpAtOnce(fleet.instances[1], streams); wentOn < len(streams) {
		t.Errorf("%d of %d streams went on, although their version serves", wentOn, len(streams))
	}
}

// TestRestartOfAllJoinsNoTwoVersions guards against guessing the version of a stream whose beginning all instances have forgotten.
func TestRestartOfAllJoinsNoTwoVersions(t *testing.T) {
	t.Parallel()
	for name, oldLeaves := range map[string]bool{"both serve": false, "the old one has just left": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newVersionFleet(t, 2, oldSoftware, newSoftware)
			streams := fleet.beginAtOnce(fleet.instances[0], 10)
			if oldLeaves {
				for _, e := range fleet.engines[:2] {
					e.Unregister()
				}
				time.Sleep(settleTime)
			}
			fleet.restartAll()
			for i, stream := range streams {
				id, got := fleet.takeUp(fleet.instances[2+i%2], stream)
				fleet.expectSameSoftware(stream, id, got)
			}
			if _, got := fleet.last().prompt("/short/", keyBig); got.status != http.StatusOK {
				t.Errorf("a new stream: %+v", got)
			}
		})
	}
}

// TestRestartOfAllKeepsStreamsOfTheOnlySoftware guards against refusing streams after a restart of all instances although one version only has served.
func TestRestartOfAllKeepsStreamsOfTheOnlySoftware(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 2, oldSoftware)
	streams := fleet.beginAtOnce(fleet.instances[0], 10)
	fleet.restartAll()
	for i, stream := range streams {
		id, got := fleet.takeUp(fleet.instances[2+i%2], stream)
		if !fleet.expectSameSoftware(stream, id, got) {
			t.Errorf("stream %s: status %d, retry after %s s", stream, got.status, got.header.Get("Retry-After"))
		}
	}
}

// TestStreamOfGoneSoftwareIsRefused guards against going on at another version when the one that began the stream no longer serves, and against an untrue refusal.
func TestStreamOfGoneSoftwareIsRefused(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 2, oldSoftware, newSoftware)
	byVersion := map[string][]string{}
	for _, stream := range fleet.beginAtOnce(fleet.instances[0], 12) {
		for version := range fleet.softwareOf(stream) {
			byVersion[version] = append(byVersion[version], stream)
		}
	}
	for _, e := range fleet.engines[:2] {
		e.Unregister()
	}
	time.Sleep(settleTime)
	for _, stream := range byVersion[oldSoftware] {
		id, got := fleet.takeUp(fleet.instances[1], stream)
		if got.status != http.StatusServiceUnavailable || len(fleet.softwareOf(id)) > 0 {
			t.Errorf("stream %s of the version that has left: status %s, ran at %v", stream, strconv.Itoa(got.status), fleet.softwareOf(id))
		}
	}
	for _, stream := range byVersion[newSoftware] {
		id, got := fleet.takeUp(fleet.instances[1], stream)
		if !fleet.expectSameSoftware(stream, id, got) {
			t.Errorf("stream %s of the version that serves: status %d", stream, got.status)
		}
	}
}

// TestOutOfStepInstanceJoinsNoTwoVersions guards against an instance that goes on with streams of another version, which has joined or come and gone while it heard nothing of the store and of the others.
func TestOutOfStepInstanceJoinsNoTwoVersions(t *testing.T) {
	t.Parallel()
	for name, newLeaves := range map[string]bool{"both serve": false, "the new one has left": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newVersionFleet(t, 1, oldSoftware)
			fleet.coreLink = newLink()
			fleet.startInstances(1)
			fleet.coreLink.set(linkHangs)
			fleet.startEngines(newSoftware)
			var streams []string
			for range 20 {
				streams = append(streams, fleet.beginAtOnce(fleet.instances[0], 4)...)
				time.Sleep(50 * time.Millisecond)
			}
			if newLeaves {
				time.Sleep(settleTime)
				for _, e := range fleet.engines[2:] {
					e.Unregister()
				}
				time.Sleep(settleTime)
				fleet.coreLink.set(linkUp)
			}
			for _, stream := range streams {
				id, got := fleet.takeUp(fleet.last(), stream)
				fleet.expectSameSoftware(stream, id, got)
			}
		})
	}
}

// TestServedVersionsAreStoredBesideInstanceWithoutStore guards against a row that nobody writes, because the instance that should cannot reach the store.
func TestServedVersionsAreStoredBesideInstanceWithoutStore(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 0, oldSoftware)
	names := []string{"n0", "n1", "n2"}
	slices.SortFunc(names, func(a, b string) int {
		service := xxh3.HashString("llm")
		return cmp.Compare(xxh3.HashStringSeed(a, service), xxh3.HashStringSeed(b, service))
	})
	first := fleet.startInstance(names[0])
	fleet.startInstance(names[1])
	storeAddr := fleet.storeAddr
	fleet.storeAddr = freeAddr(t).String() // nothing listens there
	fleet.startInstance(names[2], first.options.ControlAddr.String())
	fleet.storeAddr = storeAddr
	time.Sleep(settleTime)
	fleet.startEngines(newSoftware)
	fleet.await("both versions are stored", func() bool {
		row, _ := fleet.store.Get(platform.TableVersions, "llm")
		return strings.Contains(string(row), oldSoftware+`"`) && strings.Contains(string(row), newSoftware+`"`)
	})
}

// TestStreamOfTheOnlySoftwareGoesOnWhileTheStoreIsAway guards against refusing streams, at an instance that never saw them begin, for as long as no instance reaches the store.
func TestStreamOfTheOnlySoftwareGoesOnWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, 2, oldSoftware)
	fleet.store.SetDown(true)
	time.Sleep(settleTime)
	streams := fleet.beginAtOnce(fleet.instances[0], 10)
	if wentOn := fleet.takeUpAtOnce(fleet.instances[1], streams); wentOn < len(streams) {
		t.Errorf("%d of %d streams went on, although one version only has served", wentOn, len(streams))
	}
}
