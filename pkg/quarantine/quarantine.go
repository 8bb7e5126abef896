// Package quarantine finds parts of requests that end upstreams, and says which requests
// must not be sent. A part is one that prompts share, or the whole request. Instances tell
// each other the crashes that they see, so that each decides from the crashes of all. The
// package does no I/O, is not safe for concurrent use, and takes the current time as an
// argument.
package quarantine

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Part identifies a part of prompts to a model, or requests that are alike. It is the same
// at all instances.
type Part uint64

// MaxParts bounds the parts of a request.
const MaxParts = 2048

// PartOf returns the identity of a part of prompts to a model. Callers state the IDs of
// parts themselves and share them, so one that wants another's part to be blamed can state
// its ID; a hash without collisions would not prevent that.
func PartOf(model, id string) Part { return Part(xxh3.HashString(model + "\x00" + id)) }

// PartOfAnyModel returns the identity of a part of prompts to whatever model.
func PartOfAnyModel(id string) Part { return Part(xxh3.HashString(id)) }

// Process identifies one process of an upstream.
type Process uint64

// Crash is the end of a process while it began to answer a request. Parts are those that
// the request shares with others, from the most common to the most specific: of two that
// explain the same crashes the later one is the cause.
type Crash struct {
	Process Process
	Parts   []Part
	At      time.Time
}

// Quarantine is a part whose prompts are refused.
type Quarantine struct {
	Part  Part
	Since time.Time     // when the last process ended at it
	Left  time.Duration // until one prompt with it is tried
}

const (
	// crashMemory is how long a crash counts. messageMemory is how long the message of a
	// crash may arrive again.
	crashMemory   = 10 * time.Minute
	messageMemory = time.Minute
	// maxCrashes bounds the crashes that are kept, and maxCrashParts their parts, at 24
	// bytes each; the oldest go first.
	maxCrashes    = 512
	maxCrashParts = 1 << 16
	// answerMemory is how long an answer counts against crashes and quarantines before it
	// that other instances tell later.
	answerMemory = time.Minute
	// maxQuarantines bounds the quarantined parts. The one that ends first makes room.
	maxQuarantines = 32
)

// Tracker is the state of one instance.
type Tracker struct {
	crashes     crashLog
	sound       *soundParts
	seen        map[uint64]time.Time // by hash of a crash: when it happened last
	explained   processEnds          // at a quarantined part
	quarantined map[Part]*period
	answeredAt  map[Part]time.Time // when a prompt with a suspected or quarantined part was answered last

	incompleteUntil time.Time
}

// NewTracker returns a tracker without crashes.
func NewTracker() *Tracker {
	return &Tracker{
		crashes: newCrashLog(), sound: newSoundParts(), seen: map[uint64]time.Time{}, explained: processEnds{},
		quarantined: map[Part]*period{}, answeredAt: map[Part]time.Time{},
	}
}

// SetIncomplete records for how long crashes of before this instance started may be
// missing, so that fewer must be seen. 0: none are.
func (t *Tracker) SetIncomplete(d time.Duration, now time.Time) { t.incompleteUntil = now.Add(d) }

// Incomplete returns for how long crashes may still be missing.
func (t *Tracker) Incomplete(now time.Time) time.Duration { return max(0, t.incompleteUntil.Sub(now)) }

// Idle reports whether no part is suspected or quarantined.
func (t *Tracker) Idle() bool { return t.crashes.isEmpty() && len(t.quarantined) == 0 }

// RecordCrash records a crash that this instance has seen or another one tells. It
// reports whether the crash was not known, so that others must be told, and the parts
// that are quarantined now.
func (t *Tracker) RecordCrash(c Crash, now time.Time) (isNew bool, added []Part) {
	t.expire(now)
	id := c.hash()
	if at, known := t.seen[id]; len(c.Parts) == 0 || (known && c.At.Sub(at).Abs() < minProcessLife) {
		return false, nil
	}
	t.seen[id] = c.At
	t.crashes.dropStored(id)
	for _, part := range c.Parts {
		if p := t.quarantined[part]; p != nil {
			p.extend(c.At)
			t.explain(c)
			return true, nil
		}
	}
	if t.explained.has(c.Process, c.At) {
		return true, nil
	}
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(part Part) bool { return c.At.Before(t.answeredAt[part]) })
	if len(c.Parts) == 0 {
		return true, nil
	}
	t.crashes.add(&recorded{Crash: c, id: id})
	return true, t.quarantineCause(c.Parts, now)
}

func (c Crash) hash() uint64 {
	raw := make([]byte, 0, 8*(1+len(c.Parts)))
	raw = appendUint64(raw, uint64(c.Process))
	for _, part := range c.Parts {
		raw = appendUint64(raw, uint64(part))
	}
	return xxh3.Hash(raw)
}

func appendUint64(raw []byte, v uint64) []byte {
	for shift := 0; shift < 64; shift += 8 {
		raw = append(raw, byte(v>>shift))
	}
	return raw
}

// begin quarantines a part. The processes that ended at it speak against no other part
// any more, but for those before it in the same requests.
func (t *Tracker) begin(part Part, now time.Time) {
	t.makeRoom()
	at := t.crashTimes(part)
	t.quarantined[part] = &period{since: slices.MaxFunc(at, time.Time.Compare), duration: firstDuration, tryAt: now.Add(firstDuration)}
	for c := range t.crashes.against(part) {
		c.cause = part
		t.explained.add(c.Process, c.At)
	}
	t.dropExplained()
}

// explain records that a process ended at a quarantined part.
func (t *Tracker) explain(c Crash) {
	t.explained.add(c.Process, c.At)
	t.dropExplained()
}

func (t *Tracker) dropExplained() {
	t.crashes.drop(func(c *recorded) bool { return c.cause == 0 && t.explained.has(c.Process, c.At) })
}

// makeRoom forgets the quarantine whose trial is due first if there are maxQuarantines.
func (t *Tracker) makeRoom() {
	if len(t.quarantined) < maxQuarantines {
		return
	}
	var first Part
	for part, p := range t.quarantined {
		if old := t.quarantined[first]; old == nil || p.tryAt.Before(old.tryAt) {
			first = part
		}
	}
	delete(t.quarantined, first)
}

// RecordAnswer records that a prompt with these parts was answered at a time. It returns
// those that were suspected or quarantined because of earlier crashes, so that others
// must be told, and those of them that were quarantined.
func (t *Tracker) RecordAnswer(parts []Part, at time.Time) (cleared, lifted []Part) {
	unsuspected := t.crashes.clear(parts, at)
	for _, part := range parts {
		t.sound.add(part, at)
		suspected := unsuspected[part]
		p := t.quarantined[part]
		quarantined := p != nil && !p.since.After(at)
		if quarantined {
			delete(t.quarantined, part)
			lifted = append(lifted, part)
		}
		if suspected || quarantined {
			cleared = append(cleared, part)
			t.answeredAt[part] = at
		}
	}
	return cleared, lifted
}

// Refused returns how long prompts with these parts are still refused; 0 if this one is
// sent. When a trial is due, one prompt is sent by the instance for which tries returns
// true.
func (t *Tracker) Refused(parts []Part, now time.Time, tries func(Part) bool) time.Duration {
	var left time.Duration
	for _, part := range parts {
		if p := t.quarantined[part]; p != nil {
			left = max(left, p.refused(now, func() bool { return tries(part) }))
		}
	}
	return left
}

// Suspected reports whether more than one process has ended at one of the parts.
func (t *Tracker) Suspected(parts []Part) bool {
	return slices.ContainsFunc(parts, func(part Part) bool { return len(t.crashTimes(part)) > 1 })
}

// Evidence returns, for each part, how many processes have ended at it that no quarantined
// part explains, and whether it was answered lately.
func (t *Tracker) Evidence(parts []Part, now time.Time) (ends []int, answeredLately []bool) {
	for _, part := range parts {
		ends = append(ends, len(t.crashTimes(part)))
		answeredLately = append(answeredLately, t.sound.has(part, now))
	}
	return ends, answeredLately
}

// Quarantines returns the parts that are quarantined.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	var out []Quarantine
	for part, p := range t.quarantined {
		out = append(out, Quarantine{part, p.since, max(0, p.tryAt.Sub(now))})
	}
	return out
}

// Crashes returns the crashes that no quarantined part explains.
func (t *Tracker) Crashes() []Crash {
	var out []Crash
	for _, c := range t.crashes.list {
		if c.cause == 0 {
			out = append(out, c.Crash)
		}
	}
	return out
}

// Adopt takes over a quarantine from another instance, and reports whether the part was
// not quarantined here. If a prompt with the part was answered after the last process
// ended at it, Adopt returns the time of that answer, which the other instance must be
// told; otherwise the zero time.
func (t *Tracker) Adopt(q Quarantine, now time.Time) (added bool, answeredAt time.Time) {
	if answered, ok := t.answeredAt[q.Part]; ok && !q.Since.After(answered) {
		return false, answered
	}
	left := min(q.Left, maxDuration)
	p := t.quarantined[q.Part]
	added = p == nil
	if added {
		t.makeRoom()
		p = &period{}
		t.quarantined[q.Part] = p
	}
	p.duration = max(p.duration, firstDuration, left)
	if q.Since.After(p.since) {
		p.since = q.Since
	}
	if tryAt := now.Add(left); tryAt.After(p.tryAt) {
		p.tryAt = tryAt
	}
	return added, time.Time{}
}

// expire forgets what no longer counts. A quarantine is forgotten if no prompt was tried
// for as long as it lasted, but crashMemory at least: none with its part comes.
func (t *Tracker) expire(now time.Time) {
	t.crashes.drop(func(c *recorded) bool { return now.Sub(c.At) > crashMemory })
	forget(t.seen, now, messageMemory)
	t.explained.forget(now, crashMemory)
	forget(t.answeredAt, now, answerMemory)
	for part, p := range t.quarantined {
		if now.Sub(p.tryAt) > max(p.duration, crashMemory) {
			delete(t.quarantined, part)
		}
	}
}

func forget[K comparable](times map[K]time.Time, now time.Time, age time.Duration) {
	for key, at := range times {
		if now.Sub(at) > age {
			delete(times, key)
		}
	}
}
