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
	onCrash  func(quarantine.Crash)                   // called when this instance is the first to see a crash
	onAnswer func(part quarantine.Part, at time.Time) // called when another instance must be told of an answer
	tries    func(quarantine.Part) bool               // reports whether this instance tries the requests with a part

	mu        sync.Mutex
	tracker   *quarantine.Tracker
	assembler quarantine.Assembler
}

func newCrashes(log hclog.Logger, now func() time.Time) *crashes {
	return &crashes{
		log: log, now: now, tracker: quarantine.NewTracker(),
		onCrash: func(quarantine.Crash) {}, onAnswer: func(quarantine.Part, time.Time) {},
		tries: func(quarantine.Part) bool { return true },
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

// maxLoggedParts bounds the parts that are logged of a crash.
const maxLoggedParts = 64

// logCrash logs a crash that this instance has seen, with what speaks for and against
// each part: the processes that ended at it, and whether it was answered lately.
func (c *crashes) logCrash(u *fleet.Upstream, crash quarantine.Crash, isNew bool) {
	c.mu.Lock()
	parts := c.tracker.MostSuspect(crash.Parts, maxLoggedParts, c.now())
	ends, sound := c.tracker.Evidence(parts, c.now())
	c.mu.Unlock()
	c.log.Info("upstream ended while it began to answer a request", "upstream", u.ID, "started_ms", u.StartTimeMS, "new", isNew,
		"parts", len(crash.Parts), "hashes", hexParts(parts), "ends", ends, "answered_lately", sound)
}

// record records a crash that this or another instance has seen.
func (c *crashes) record(crash quarantine.Crash) (isNew bool) {
	c.mu.Lock()
	isNew, added := c.tracker.RecordCrash(crash, c.now())
	c.mu.Unlock()
	for _, part := range added {
		c.log.Warn("requests with a part are refused, since upstreams end at it", "hash", quarantineKey(part))
	}
	return isNew
}

// recordPiece records a piece of a crash that another instance tells.
func (c *crashes) recordPiece(piece quarantine.Piece) {
	c.mu.Lock()
	crash, complete := c.assembler.Add(piece, c.now())
	c.mu.Unlock()
	if complete {
		c.record(crash)
	}
}

// Answered records that a request was answered with a status.
func (c *crashes) Answered(parts []quarantine.Part, status int) {
	c.mu.Lock()
	now := c.now()
	cleared, _ := c.tracker.RecordAnswer(parts, now)
	c.mu.Unlock()
	if len(cleared) > 0 {
		c.log.Info("parts are not suspected any more, since a request with them was answered", "parts", len(cleared), "hashes", hexParts(cleared[:min(len(cleared), maxLoggedParts)]), "status", status)
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
		if answeredAt := c.adoptOne(q); !answeredAt.IsZero() {
			c.onAnswer(q.Part, answeredAt)
		}
	}
}

func (c *crashes) adoptOne(q quarantine.Quarantine) (answeredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, answeredAt = c.tracker.Adopt(q, c.now())
	return answeredAt
}

// adoptStored takes over what the store keeps.
func (c *crashes) adoptStored(quarantines []quarantine.Quarantine, ends []quarantine.StoredCrash) {
	for _, q := range quarantines {
		c.adoptOne(q)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range ends {
		c.tracker.AdoptStored(end, c.now())
	}
	if len(quarantines)+len(ends) > 0 {
		c.log.Info("crashes read from the store", "quarantined_parts", len(quarantines), "unexplained", len(ends))
	}
}

// toStore returns what the store is to keep.
func (c *crashes) toStore() ([]quarantine.Quarantine, []quarantine.StoredCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return c.tracker.Quarantines(now), c.tracker.ToStore(minStoredCrashAge, maxStoredCrashes, now)
}

// retained returns what an instance that starts must know: crashes and quarantines.
func (c *crashes) retained() ([]quarantine.Crash, []quarantine.Quarantine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Crashes(), c.tracker.Quarantines(c.now())
}

// incompleteTime is for how long an instance that has started takes crashes for missing,
// unless one that knows them has told it what it knows.
const incompleteTime = time.Minute

// setIncomplete records for how long crashes of before the start may be missing.
func (c *crashes) setIncomplete(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetIncomplete(d, c.now())
}

// incomplete returns for how long crashes of before the start may be missing.
func (c *crashes) incomplete() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Incomplete(c.now())
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
