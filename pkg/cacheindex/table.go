package cacheindex

import "slices"

// Sizes of the hash table. A segment grows by a factor of 1.4 at a load factor
// of 0.8, so its load factor stays above 0.57 and a block takes at most 28 bytes;
// with a growth factor of 2 it would take up to 40. The split into segments keeps
// a single growth step short.
const (
	segmentBits  = 10
	segmentCount = 1 << segmentBits
	minCells     = 8
	maxLoadNum   = 4 // maximum load factor as a fraction
	maxLoadDen   = 5
	growNum      = 7 // growth factor as a fraction
	growDen      = 5
)

// setFlag marks a cell whose ref is the index of a holder set.
const setFlag = 1 << 31

// holder records that the engine of a slot holds a block.
type holder struct {
	slot uint32 // index into Index.slots
	tick uint32 // time of the last event or request that used the block
}

// cell is the entry of one block. A single holder is stored inline: ref is its
// slot and tick its time. Otherwise ref is setFlag plus the index of the holder
// set.
type cell struct {
	key  uint64 // block hash, 0 when the cell is empty
	ref  uint32
	tick uint32
}

// segment is an open-addressed table with linear probing.
type segment struct {
	cells    []cell
	used     int
	sets     [][]holder // holder sets, each sorted by slot, with at least 2 holders
	freeSets []uint32   // indexes of unused sets
}

func segmentOf(key uint64) int { return int(key >> (64 - segmentBits)) }

// homeIndex returns the position at which the probe sequence of key begins. It
// multiplies instead of masking, so that the table can have any length.
func (s *segment) homeIndex(key uint64) int {
	return int(uint64(uint32(key)) * uint64(len(s.cells)) >> 32)
}

// find returns the position of key, or -1 if it is not in the table.
func (s *segment) find(key uint64) int {
	if s.used == 0 {
		return -1
	}
	for i := s.homeIndex(key); ; {
		switch s.cells[i].key {
		case key:
			return i
		case 0:
			return -1
		}
		if i++; i == len(s.cells) {
			i = 0
		}
	}
}

// add records that slot holds key as of tick, and reports whether the holder is
// new.
func (s *segment) add(key uint64, slot, tick uint32) bool {
	i := s.find(key)
	if i < 0 {
		s.insert(cell{key: key, ref: slot, tick: tick})
		return true
	}
	c := &s.cells[i]
	if c.ref&setFlag != 0 {
		return s.addToSet(c.ref&^setFlag, slot, tick)
	}
	if c.ref == slot {
		c.tick = tick
		return false
	}
	set := []holder{{c.ref, c.tick}, {slot, tick}}
	if slot < c.ref {
		set[0], set[1] = set[1], set[0]
	}
	c.ref = s.newSet(set) | setFlag
	return true
}

func (s *segment) addToSet(index, slot, tick uint32) bool {
	set := s.sets[index]
	at, found := searchSlot(set, slot)
	if found {
		set[at].tick = tick
		return false
	}
	if len(set) == cap(set) {
		// Growing by a quarter keeps the memory per holder low.
		set = slices.Grow(set, max(1, len(set)/4))
	}
	s.sets[index] = slices.Insert(set, at, holder{slot, tick})
	return true
}

func (s *segment) newSet(set []holder) uint32 {
	if n := len(s.freeSets); n > 0 {
		index := s.freeSets[n-1]
		s.freeSets = s.freeSets[:n-1]
		s.sets[index] = set
		return index
	}
	s.sets = append(s.sets, set)
	return uint32(len(s.sets) - 1)
}

// searchSlot returns the position of slot in the sorted set, or the position to
// insert it at, and whether it was found.
func searchSlot(set []holder, slot uint32) (int, bool) {
	lo, hi := 0, len(set)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if set[mid].slot < slot {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo, lo < len(set) && set[lo].slot == slot
}

// insert adds a cell whose key is not in the table, growing the table if needed.
func (s *segment) insert(c cell) {
	if (s.used+1)*maxLoadDen > len(s.cells)*maxLoadNum {
		s.grow()
	}
	s.place(c)
	s.used++
}

// place stores a cell in the first free position of its probe sequence.
func (s *segment) place(c cell) {
	i := s.homeIndex(c.key)
	for s.cells[i].key != 0 {
		if i++; i == len(s.cells) {
			i = 0
		}
	}
	s.cells[i] = c
}

func (s *segment) grow() {
	old := s.cells
	s.cells = make([]cell, max(minCells, len(old)*growNum/growDen))
	for _, c := range old {
		if c.key != 0 {
			s.place(c)
		}
	}
}

// get returns the tick at which slot last held key.
func (s *segment) get(key uint64, slot uint32) (tick uint32, ok bool) {
	i := s.find(key)
	if i < 0 {
		return 0, false
	}
	return s.cells[i].tickOf(s, slot)
}

// tickOf returns the tick of the holder with the given slot.
func (c *cell) tickOf(s *segment, slot uint32) (tick uint32, ok bool) {
	if c.ref&setFlag == 0 {
		return c.tick, c.ref == slot
	}
	set := s.sets[c.ref&^setFlag]
	at, found := searchSlot(set, slot)
	if !found {
		return 0, false
	}
	return set[at].tick, true
}

// remove deletes slot from the holders of key and returns its tick.
func (s *segment) remove(key uint64, slot uint32) (tick uint32, ok bool) {
	i := s.find(key)
	if i < 0 {
		return 0, false
	}
	c := &s.cells[i]
	if c.ref&setFlag == 0 {
		if c.ref != slot {
			return 0, false
		}
		tick = c.tick
		s.erase(i)
		return tick, true
	}
	index := c.ref &^ setFlag
	at, found := searchSlot(s.sets[index], slot)
	if !found {
		return 0, false
	}
	tick = s.sets[index][at].tick
	s.sets[index] = slices.Delete(s.sets[index], at, at+1)
	s.inline(c)
	return tick, true
}

// inline moves the holder of a set with only one holder back into the cell.
func (s *segment) inline(c *cell) {
	index := c.ref &^ setFlag
	set := s.sets[index]
	if len(set) > 1 {
		return
	}
	c.ref, c.tick = set[0].slot, set[0].tick
	s.sets[index] = nil
	s.freeSets = append(s.freeSets, index)
}

// erase empties position i and moves later cells of the probe sequence back to
// close the hole.
func (s *segment) erase(i int) {
	n := len(s.cells)
	s.used--
	for j := i; ; {
		if j++; j == n {
			j = 0
		}
		if s.cells[j].key == 0 {
			break
		}
		h := s.homeIndex(s.cells[j].key)
		if (j-h+n)%n >= (j-i+n)%n {
			s.cells[i] = s.cells[j]
			i = j
		}
	}
	s.cells[i] = cell{}
}

// sweep removes the holders with dead slots from the cell at position i. It
// returns the number of removed holders and whether the cell was erased, so that
// position i now has another cell or none.
func (s *segment) sweep(i int, dead func(slot uint32) bool) (removed int, replaced bool) {
	c := &s.cells[i]
	if c.key == 0 {
		return 0, false
	}
	if c.ref&setFlag == 0 {
		if !dead(c.ref) {
			return 0, false
		}
		s.erase(i)
		return 1, true
	}
	index := c.ref &^ setFlag
	before := len(s.sets[index])
	kept := slices.DeleteFunc(s.sets[index], func(h holder) bool { return dead(h.slot) })
	s.sets[index] = kept
	removed = before - len(kept)
	if len(kept) > 0 {
		s.inline(c)
		return removed, false
	}
	s.sets[index] = nil
	s.freeSets = append(s.freeSets, index)
	s.erase(i)
	return removed, true
}

// bytes returns the memory used by the segment in bytes.
func (s *segment) bytes() int {
	n := len(s.cells)*16 + cap(s.sets)*24 + cap(s.freeSets)*4
	for _, set := range s.sets {
		n += cap(set) * 8
	}
	return n
}
