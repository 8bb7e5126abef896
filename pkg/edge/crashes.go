package edge

import (
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
)

// crashes wraps a quarantine.Tracker for concurrent use and tells the other instances
// what it records. It implements dispatch.CrashTracker.
type crashes struct {
	log      hclog.Logger
	now      func() time.Time
	onCrash  func(quarantine.Crash)                       // called when this instance is the first to see a crash
	onAnswer func(part quarantine.Part, at time.Time)     // called when another instance must be told of an answer
	onChange func(part quarantine.Part, quarantined bool) // called where the change is to be written to the store
	tries    func(quarantine.Part) bool                   // reports whether this instance tries the requests with a part

	mu      sync.Mutex
	tracker *quarantine.Tracker
}

func newCrashes(log hclog.Logger, now func() time.Time) *crashes {
	return &crashes{
		log: log, now: now, tracker: quarantine.NewTracker(),
		onCrash: func(quarantine.Crash) {}, onAnswer: func(quarantine.Part, time.Time) {},
		onChange: func(quarantine.Part, bool) {}, tries: func(quarantine.Part) bool { return true },
	}
}

// processOf identifies the process of an upstream.
func processOf(u *fleet.Upstream) quarantine.Process {
	return quarantine.Process(xxh3.HashString(u.ID + "/" + strconv.FormatInt(u.StartTimeMS, 10)))
}

// Idle reports whether nothing is refused or suspected.
func (c *crashes) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Idle()
}

// Refused returns how long requests with one of the parts are still refused; 0 if this one
// is sent.
func (c *crashes) Refused(parts []quarantine.Part) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Refused(parts, c.now(), c.tries)
}

// Crashed records that an upstream ended while it began to answer a request. The request
// may be sent to another upstream unless one of its parts is suspected.
func (c *crashes) Crashed(u *fleet.Upstream, parts []quarantine.Part) (maySend bool) {
	crash := quarantine.Crash{Process: processOf(u), Parts: parts, At: c.now()}
	isNew := c.record(crash)
	c.logCrash(u, crash, isNew)
	if isNew {
		c.onCrash(crash)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.tracker.Suspected(crash.Parts)
}

// logCrash logs a crash that this instance has seen, with what speaks for and against
// each part: the processes that ended at it, and whether it was answered lately.
func (c *crashes) logCrash(u *fleet.Upstream, crash quarantine.Crash, isNew bool) {
	c.mu.Lock()
	ends, sound := c.tracker.Evidence(crash.Parts, c.now())
	c.mu.Unlock()
	c.log.Info("upstream ended while it began to answer a request", "upstream", u.ID, "started_ms", u.StartTimeMS, "new", isNew,
		"hashes", hexParts(crash.Parts), "ends", ends, "answered_lately", sound)
}

// record records a crash that this or another instance has seen.
func (c *crashes) record(crash quarantine.Crash) (isNew bool) {
	c.mu.Lock()
	isNew, added := c.tracker.RecordCrash(crash, c.now())
	c.mu.Unlock()
	for _, part := range added {
		c.log.Warn("requests with a part are refused, since upstreams end at it", "hash", quarantineKey(part))
		c.persist(part)
	}
	return isNew
}

// persist has a part that is quarantined from now on written to the store if this instance
// is the one that will try it.
func (c *crashes) persist(part quarantine.Part) {
	if c.tries(part) {
		c.onChange(part, true)
	}
}

// Answered records that a request was answered with a status.
func (c *crashes) Answered(parts []quarantine.Part, status int) {
	c.mu.Lock()
	now := c.now()
	cleared, lifted := c.tracker.RecordAnswer(parts, now)
	c.mu.Unlock()
	for _, part := range lifted {
		c.onChange(part, false)
	}
	if len(cleared) > 0 {
		c.log.Info("parts are not suspected any more, since a request with them was answered", "hashes", hexParts(cleared), "status", status)
	}
	for _, part := range cleared {
		c.onAnswer(part, now)
	}
}

// recordAnswer records an answer that another instance has seen.
func (c *crashes) recordAnswer(part quarantine.Part, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.RecordAnswer([]quarantine.Part{part}, at)
}

// adopt takes over quarantines of another instance, which is told of later answers.
func (c *crashes) adopt(quarantines []quarantine.Quarantine) {
	for _, q := range quarantines {
		added, answeredAt := c.adoptOne(q)
		if added {
			c.persist(q.Part)
		}
		if !answeredAt.IsZero() {
			c.onAnswer(q.Part, answeredAt)
		}
	}
}

func (c *crashes) adoptOne(q quarantine.Quarantine) (added bool, answeredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Adopt(q, c.now())
}

// adoptStored takes over quarantines that the store keeps.
func (c *crashes) adoptStored(quarantines []quarantine.Quarantine) {
	for _, q := range quarantines {
		if _, answeredAt := c.adoptOne(q); !answeredAt.IsZero() {
			c.onChange(q.Part, false) // the row was not deleted after the answer
		}
	}
}

// retained returns what an instance that starts must know: crashes and quarantines.
func (c *crashes) retained() ([]quarantine.Crash, []quarantine.Quarantine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Crashes(), c.tracker.Quarantines(c.now())
}

// quarantines returns the parts whose prompts are refused.
func (c *crashes) quarantines() []quarantine.Quarantine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Quarantines(c.now())
}

func hexParts(parts []quarantine.Part) []string {
	out := make([]string, 0, len(parts))
	for _, part := range parts {
		out = append(out, quarantineKey(part))
	}
	return out
}
