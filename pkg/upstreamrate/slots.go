package upstreamrate

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// minPerSecond is the rate at which an upstream that names a lower limit, or 0, is
	// still asked. Without any answer the end of its limit would never be known.
	minPerSecond = 0.2
	// slotHold is how long a slot may be used after it is due. Requests do not come at the
	// moment of the slot.
	slotHold = time.Second
	// maxHeldSlots bounds the slots that are held.
	maxHeldSlots = 64
	// divisionAge is how long a computed division is used.
	divisionAge = 500 * time.Millisecond
	// minShare is the least share of an instance, relative to the mean share. Wishes are
	// known late.
	minShare = 0.1
)

// wishes are the requests per second that an instance would send, by upstream ID.
type wishes map[string]float64

// AddInstance adds another instance. Until it tells its wishes it counts with the mean.
func (l *Limits) AddInstance(name string) {
	if _, ok := l.instances[name]; !ok {
		l.instances[name] = nil
		l.generation++
	}
}

// RemoveInstance removes an instance that has stopped.
func (l *Limits) RemoveInstance(name string) {
	delete(l.instances, name)
	l.generation++
}

// SetWish records how many requests per second another instance would send to an
// upstream.
func (l *Limits) SetWish(instance, upstream string, perSecond float64) {
	if l.instances[instance] == nil {
		l.instances[instance] = wishes{}
	}
	l.instances[instance][upstream] = perSecond
}

// Wish counts a request that this instance would send to an upstream if that had no limit.
func (l *Limits) Wish(p Process, now time.Time) {
	if known := l.limit(p); known != nil {
		known.wished.Add(1, now)
	}
}

// TellWish returns how many requests per second this instance would send to a process, to
// be told to the others. Its own weight is what it has told: with newer figures of its own
// only, each instance would take more than the others leave it.
func (l *Limits) TellWish(p Process, now time.Time) float64 {
	known := l.limit(p)
	if known == nil {
		return 0
	}
	known.told, known.hasTold = known.wished.PerSecond(now), true
	return known.told
}

// candidate is an instance that slots may belong to.
type candidate struct {
	seed   uint64 // of its name and the process
	weight float64
	self   bool
}

// division is how the slots of a limit are divided.
type division struct {
	candidates []candidate
	ownShare   float64 // of this instance, in (0, 1]
	computedAt time.Time
}

// divide returns how the slots of a limit are divided. All instances that know the same
// wishes divide them alike.
func (l *Limits) divide(known *limit, now time.Time) *division {
	d := &known.division
	if !d.computedAt.IsZero() && now.Sub(d.computedAt) < divisionAge {
		return d
	}
	*d = division{candidates: d.candidates[:0], computedAt: now}
	total := 0.0
	for name, weight := range l.weights(known) {
		total += weight
		seed := xxh3.HashStringSeed(name, xxh3.HashString(known.Process.ID))
		d.candidates = append(d.candidates, candidate{seed, weight, name == l.self})
		if name == l.self {
			d.ownShare = weight
		}
	}
	d.ownShare /= total
	return d
}

// isOwn reports whether a slot belongs to this instance, by weighted rendezvous hashing. A
// change of one weight moves slots to and from that instance only, so that instances that
// know different weights agree on nearly all slots.
func (d *division) isOwn(slot int64) bool {
	best, own := math.Inf(1), false
	for _, c := range d.candidates {
		if score := -math.Log(uniform(c.seed, slot)) / c.weight; score < best {
			best, own = score, c.self
		}
	}
	return own
}

// uniform returns a number in (0, 1) that follows from a seed and a slot (SplitMix64).
func uniform(seed uint64, slot int64) float64 {
	x := seed + uint64(slot)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>12) + 0.5) / (1 << 52)
}

// weights returns the weights of all instances for the slots of a limit: their wishes, or
// the mean for those that have told none, and not much less than the mean.
func (l *Limits) weights(known *limit) map[string]float64 {
	out := map[string]float64{}
	if known.hasTold {
		out[l.self] = known.told
	}
	for name, told := range l.instances {
		if wish, ok := told[known.Process.ID]; ok {
			out[name] = wish
		}
	}
	mean := 0.0
	for _, wish := range out {
		mean += wish / float64(len(out))
	}
	if mean == 0 {
		mean = 1
	}
	if _, ok := out[l.self]; !ok {
		out[l.self] = mean
	}
	for name := range l.instances {
		if _, ok := out[name]; !ok {
			out[name] = mean
		}
	}
	for name, wish := range out {
		out[name] = max(wish, minShare*mean)
	}
	return out
}

// perSecond returns the rate at which slots are due.
func (l *limit) perSecond() float64 { return max(l.PerSecond, minPerSecond) }

// position returns how many slots were due until a time.
func (l *limit) position(now time.Time) float64 {
	return l.Base + now.Sub(l.Since).Seconds()*l.perSecond()
}

// lastDue returns the last slot that is due at a time.
func (l *limit) lastDue(now time.Time) int64 { return int64(math.Floor(l.position(now))) }

// firstHeld returns the first slot that may still be used at a time.
func (l *limit) firstHeld(now time.Time) int64 {
	due := l.lastDue(now)
	held := min(int64(math.Ceil(slotHold.Seconds()*l.perSecond())), maxHeldSlots)
	return max(l.lastSlot+1, due-held+1, 0)
}

// dueSlot returns the first slot of this instance that may be used now, or -1.
func (l *Limits) dueSlot(known *limit, now time.Time) int64 {
	d := l.divide(known, now)
	for slot := known.firstHeld(now); slot <= known.lastDue(now); slot++ {
		own, decided := known.own[slot]
		if !decided {
			own = d.isOwn(slot)
			known.decide(slot, own)
		}
		if own {
			return slot
		}
	}
	return -1
}

// decide remembers whether a slot is this instance's.
func (l *limit) decide(slot int64, own bool) {
	if len(l.own) > 2*maxHeldSlots {
		clear(l.own)
	}
	l.own[slot] = own
}

// Due reports whether this instance may send a request to a process now.
func (l *Limits) Due(p Process, now time.Time) bool {
	known := l.limit(p)
	return known == nil || l.dueSlot(known, now) >= 0
}

// Wait returns how long until this instance is expected to have a slot of a process: the
// mean time between its slots, at most maxWait; 0 if it has one or there is no limit.
func (l *Limits) Wait(p Process, now time.Time) time.Duration {
	known := l.limit(p)
	if known == nil || l.dueSlot(known, now) >= 0 {
		return 0
	}
	seconds := 1 / (known.perSecond() * l.divide(known, now).ownShare)
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds what Wait returns.
const maxWait = 5 * time.Second

// Take uses a slot for a request to a process. It returns false if none is due.
func (l *Limits) Take(p Process, now time.Time) bool {
	known := l.limit(p)
	if known == nil {
		return true
	}
	slot := l.dueSlot(known, now)
	if slot < 0 {
		return false
	}
	known.lastSlot = slot
	return true
}
