package quarantine

import (
	"slices"
	"time"
)

// Piece is a crash with some of the parts of its request. Instances tell crashes with many
// parts in pieces, which may be lost, repeated or come in any order.
type Piece struct {
	Crash
	Whole uint64 // identifies the crash
	From  int    // position of the first part
	Of    int    // number of parts of the whole
}

// Pieces returns a crash in pieces of at most size parts each.
func (c Crash) Pieces(size int) []Piece {
	whole := c.hash()
	var out []Piece
	for from := 0; from < len(c.Parts); from += size {
		parts := c.Parts[from:min(from+size, len(c.Parts))]
		out = append(out, Piece{Crash{c.Process, parts, c.At}, whole, from, len(c.Parts)})
	}
	return out
}

const (
	// maxAssemblies bounds the crashes of which pieces are missing, with MaxParts parts of 8
	// bytes each; the oldest goes first.
	maxAssemblies = 64
	// assemblyTime is how long after the first piece the others may arrive.
	assemblyTime = 5 * time.Second
)

// Assembler puts crashes together that are told in pieces. A crash counts only when all are
// there: its first parts alone, which most requests share, would be blamed for it.
type Assembler struct {
	list []*assembly // by the arrival of their first piece
}

type assembly struct {
	whole   uint64
	crash   Crash
	has     []bool // by position
	missing int
	begunAt time.Time
}

// Add adds a piece. It returns the whole crash if the piece was the last one missing.
func (a *Assembler) Add(p Piece, now time.Time) (c Crash, complete bool) {
	if p.Of <= 0 || p.Of > MaxParts || p.From < 0 || p.From+len(p.Parts) > p.Of {
		return Crash{}, false
	}
	a.list = slices.DeleteFunc(a.list, func(s *assembly) bool { return now.Sub(s.begunAt) > assemblyTime })
	s := a.assemblyOf(p, now)
	if len(s.has) != p.Of {
		return Crash{}, false
	}
	s.add(p)
	if s.missing > 0 {
		return Crash{}, false
	}
	a.list = slices.DeleteFunc(a.list, func(other *assembly) bool { return other == s })
	return s.crash, true
}

func (a *Assembler) assemblyOf(p Piece, now time.Time) *assembly {
	for _, s := range a.list {
		if s.whole == p.Whole {
			return s
		}
	}
	if len(a.list) >= maxAssemblies {
		a.list = slices.Delete(a.list, 0, 1)
	}
	s := &assembly{
		whole: p.Whole, crash: Crash{p.Process, make([]Part, p.Of), p.At}, has: make([]bool, p.Of), missing: p.Of, begunAt: now,
	}
	a.list = append(a.list, s)
	return s
}

func (s *assembly) add(p Piece) {
	for i, part := range p.Parts {
		if at := p.From + i; !s.has[at] {
			s.crash.Parts[at], s.has[at] = part, true
			s.missing--
		}
	}
}
