package quarantine

import "time"

const (
	// soundMemory is how long a part that was answered counts as sound. Requests that are
	// often sent are answered again within it.
	soundMemory = time.Minute
	// maxSound bounds the parts in each of the two generations that are kept, at about 50
	// bytes each.
	maxSound = 1 << 15
)

// soundParts remembers which parts were answered lately, in two generations: the older one
// is dropped when the newer one is full.
type soundParts struct {
	newer, older map[Part]time.Time
}

func newSoundParts() *soundParts { return &soundParts{newer: map[Part]time.Time{}} }

func (s *soundParts) add(part Part, at time.Time) {
	if len(s.newer) >= maxSound {
		s.older, s.newer = s.newer, map[Part]time.Time{}
	}
	s.newer[part] = at
}

// has reports whether a part was answered within soundMemory before a time.
func (s *soundParts) has(part Part, now time.Time) bool {
	at, ok := s.newer[part]
	if !ok {
		at, ok = s.older[part]
	}
	return ok && now.Sub(at) < soundMemory
}
