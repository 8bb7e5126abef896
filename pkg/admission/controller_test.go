package admission

import (
	"math"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/concurrency"
)

var start = time.Unix(1000, 0)

func newRequest(id uint64, deadline time.Duration) Request {
	return Request{ID: id, Service: "llm", Customer: "a", Deadline: start.Add(deadline)}
}

// full returns a controller at which one request runs and all room is used.
func full() *Controller {
	c := New("i")
	c.SetRoom("llm", concurrency.Room{Total: 1, Free: 1})
	c.Arrive(start, newRequest(1, time.Minute))
	c.SetRoom("llm", concurrency.Room{Total: 1, Free: 0})
	return c
}

// Guards against callers that wait although no answer can come within their deadline, and
// against a refusal without a time to return.
func TestRefusedAtOnceBeforeDeadline(t *testing.T) {
	c := full()
	if d := c.Arrive(start, newRequest(2, 50*time.Millisecond)); d.Action != Refuse || d.Reason != DeadlineMiss || d.RetryAfter <= 0 {
		t.Errorf("with less time than a request takes: %+v", d)
	}
	if d := c.Arrive(start, newRequest(3, time.Second)); d.Action != Wait || d.Until.After(start.Add(time.Second)) {
		t.Errorf("with enough time: %+v", d)
	}
	out := c.Poll(start.Add(time.Second))
	if len(out) != 1 || out[0].ID != 3 || out[0].Action != Refuse {
		t.Errorf("at the deadline: %+v", out)
	}
}

// Guards against places in the queue that callers who left keep, and against room that is
// not passed on.
func TestLeavingTheQueue(t *testing.T) {
	c := full()
	c.Arrive(start, newRequest(2, time.Minute))
	c.Arrive(start, newRequest(3, time.Minute))
	c.Done(start, 2)
	if n := c.Waiting("llm"); n != 1 {
		t.Errorf("%d wait after one of two left", n)
	}
	if out := c.Poll(start); len(out) != 0 {
		t.Errorf("without room: %+v", out)
	}
	c.Done(start.Add(100*time.Millisecond), 1)
	c.SetRoom("llm", concurrency.Room{Total: 1, Free: 1})
	if out := c.Poll(start.Add(300 * time.Millisecond)); len(out) != 1 || out[0].ID != 3 || out[0].Action != Admit {
		t.Errorf("with room: %+v", out)
	}
}

// Guards against callers that wait at an instance which shuts down.
func TestStop(t *testing.T) {
	c := full()
	c.Arrive(start, newRequest(2, time.Minute))
	if out := c.Stop(start); len(out) != 1 || out[0].Action != Refuse || out[0].Reason != Stopping {
		t.Errorf("waiting: %+v", out)
	}
	if d := c.Arrive(start, newRequest(4, time.Minute)); d.Action != Refuse || d.Reason != Stopping {
		t.Errorf("arriving: %+v", d)
	}
}

// Guards against more waiting requests than an instance has memory for.
func TestQueueIsBounded(t *testing.T) {
	c := full()
	for id := range uint64(3 * maxWaiting) {
		c.Arrive(start, newRequest(id+10, time.Hour))
	}
	if n := c.Waiting("llm"); n > maxWaitingPerFlow {
		t.Errorf("%d requests of one flow wait", n)
	}
}

// Guards against usage of a faulty instance that spoils the sums, and against usage that
// stays after its sender was removed, fell silent or restarted.
func TestUsageOfOthers(t *testing.T) {
	c := full()
	f := c.service("llm").flow(flowKey{customer: "a"}, start)
	c.Merge(start, "odd", 1, Usage{
		{Service: "llm", Customer: "a", Running: -5, Waiting: math.MaxInt, PerSecond: math.NaN()},
		{Service: "llm", Customer: "a", Class: math.MaxUint32, Running: 5},
		{Service: "unknown", Customer: "a", Running: 5},
	})
	if f.others != (row{}) {
		t.Errorf("after odd usage: %+v", f.others)
	}
	usage := Usage{{Service: "llm", Customer: "a", Running: 5, Waiting: 2, PerSecond: 10}}
	for _, drop := range []func(){
		func() { c.Forget("j") },
		func() { c.Merge(start, "j", 2, nil) },
		func() { c.Usage(start.Add(staleAfter + time.Second)) },
	} {
		c.Merge(start, "j", 1, usage)
		c.Merge(start, "j", 1, usage) // totals: a repeated one changes nothing
		if f.others != (row{5, 2, 10}) {
			t.Errorf("told: %+v", f.others)
		}
		drop()
		if !f.others.isIdle() {
			t.Errorf("dropped: %+v", f.others)
		}
	}
}
