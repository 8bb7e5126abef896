package quota

import "time"

// windowSize is the number of sequence numbers within which messages may arrive out
// of order. Older messages are dropped: their tokens are lost, but never credited
// twice.
const windowSize = 64

// senderIdleTimeout is how long the sequence numbers of an idle sender are kept. A
// repeated message that arrives later would be credited twice, so this is far above
// every request timeout.
const senderIdleTimeout = 10 * time.Minute

// sequenceWindow detects repeated sequence numbers of one sender.
type sequenceWindow struct {
	highest    uint64
	seenBits   uint64 // bit i is set if sequence number highest-i was seen
	lastUsedAt time.Duration
}

// accept records a sequence number. It returns false for one that was seen before or
// is older than the window.
func (w *sequenceWindow) accept(sequence uint64, now time.Duration) bool {
	w.lastUsedAt = now
	if sequence > w.highest {
		shift := sequence - w.highest
		w.seenBits = w.seenBits<<min(shift, windowSize) | 1
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= windowSize || w.seenBits&(1<<age) != 0 {
		return false
	}
	w.seenBits |= 1 << age
	return true
}

// senderWindow returns the window of a sender, which it creates if there is none.
func (h *Holder) senderWindow(id, incarnation string) *sequenceWindow {
	key := senderKey{id, incarnation}
	w, ok := h.senders[key]
	if !ok {
		w = &sequenceWindow{}
		h.senders[key] = w
	}
	return w
}

// ExpireSenders removes the sequence windows of idle senders. The caller calls it
// periodically.
func (h *Holder) ExpireSenders(now time.Duration) {
	for key, w := range h.senders {
		if now-w.lastUsedAt > senderIdleTimeout {
			delete(h.senders, key)
		}
	}
}
