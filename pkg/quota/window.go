package quota

import "time"

// windowSize is how far a message may be overtaken by later ones. Older ones
// are dropped: their tokens are wasted, never credited twice.
const windowSize = 64

// senderIdle is the time after which a sender is forgotten. A message delayed
// for longer would be credited twice, so it is far above every timeout.
const senderIdle = 10 * time.Minute

// window recognises repeated sequence numbers of one sender.
type window struct {
	highest uint64
	seen    uint64 // bit i is sequence highest-i
	used    time.Duration
}

// accept reports whether the sequence number is new.
func (w *window) accept(sequence uint64, now time.Duration) bool {
	w.used = now
	if sequence > w.highest {
		shift := sequence - w.highest
		w.seen = w.seen<<min(shift, windowSize) | 1
		w.highest = sequence
		return true
	}
	back := w.highest - sequence
	if back >= windowSize || w.seen&(1<<back) != 0 {
		return false
	}
	w.seen |= 1 << back
	return true
}

// window returns the window of a sender and forgets idle senders when it adds
// one.
func (h *Holder) window(id, incarnation string) *window {
	key := sender{id, incarnation}
	w, ok := h.senders[key]
	if !ok {
		w = &window{}
		h.senders[key] = w
	}
	return w
}

// ForgetSenders drops senders that have been idle. It is called now and then.
func (h *Holder) ForgetSenders(now time.Duration) {
	for key, w := range h.senders {
		if now-w.used > senderIdle {
			delete(h.senders, key)
		}
	}
}
