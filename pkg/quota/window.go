package quota

import "time"

// windowSize is how far a message may be overtaken by later ones. Older ones
// are dropped: their tokens are wasted, never credited twice.
const windowSize = 64

// senderIdleTimeout is the time after which a sender is forgotten. A message delayed
// for longer would be credited twice, so it is far above every timeout.
const senderIdleTimeout = 10 * time.Minute

// sequenceWindow recognises repeated sequence numbers of one sender.
type sequenceWindow struct {
	highest    uint64
	seenBits   uint64 // bit i is sequence highest-i
	lastUsedAt time.Duration
}

// accept reports whether the sequence number is new.
func (w *sequenceWindow) accept(sequence uint64, now time.Duration) bool {
	w.lastUsedAt = now
	if sequence > w.highest {
		shift := sequence - w.highest
		w.seenBits = w.seenBits<<min(shift, windowSize) | 1
		w.highest = sequence
		return true
	}
	back := w.highest - sequence
	if back >= windowSize || w.seenBits&(1<<back) != 0 {
		return false
	}
	w.seenBits |= 1 << back
	return true
}

// senderWindow returns the senderWindow of a sender and forgets idle senders when it adds
// one.
func (h *Holder) senderWindow(id, incarnation string) *sequenceWindow {
	key := senderKey{id, incarnation}
	w, ok := h.senders[key]
	if !ok {
		w = &sequenceWindow{}
		h.senders[key] = w
	}
	return w
}

// ExpireSenders drops senders that have been idle. It is called now and then.
func (h *Holder) ExpireSenders(now time.Duration) {
	for key, w := range h.senders {
		if now-w.lastUsedAt > senderIdleTimeout {
			delete(h.senders, key)
		}
	}
}
