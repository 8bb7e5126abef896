package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// manyParts returns n parts from one on.
func manyParts(first Part, n int) []Part {
	out := make([]Part, n)
	for i := range out {
		out[i] = first + Part(i)
	}
	return out
}

// TestCrashInPiecesIsThatOfTheSender guards against crashes that other instances take for others, or count twice, because their pieces come in another order, again or not at all.
func TestCrashInPiecesIsThatOfTheSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Crash{7, manyParts(1, rapid.IntRange(1, MaxParts).Draw(t, "parts")), start}
		pieces := sent.Pieces(64)
		order := rapid.Permutation(slices.Concat(pieces, pieces)).Draw(t, "order")
		var a Assembler
		seen := map[int]bool{}
		tracker := NewTracker()
		record(tracker, start, 7, sent.Parts...)
		for _, piece := range order {
			before := len(seen)
			seen[piece.From] = true
			got, complete := a.Add(piece, start)
			if complete && (len(seen) < len(pieces) || !slices.Equal(got.Parts, sent.Parts) || got.Process != 7 || !got.At.Equal(start)) {
				t.Fatalf("complete after %d of %d pieces, with %d parts", len(seen), len(pieces), len(got.Parts))
			}
			if !complete && before < len(pieces) && len(seen) == len(pieces) {
				t.Fatal("not complete with the last piece")
			}
			if complete && record(tracker, start, 7, got.Parts...) {
				t.Fatal("told as a new crash")
			}
		}
	})
}

// TestAssembliesAreBounded guards against memory that grows with crashes of which a piece is lost, and against pieces that fit no crash.
func TestAssembliesAreBounded(t *testing.T) {
	var a Assembler
	for i := range 10 * maxAssemblies {
		a.Add(Piece{Crash{Process(i), manyParts(1, 64), start}, uint64(i), 0, 128}, start)
	}
	if len(a.list) > maxAssemblies {
		t.Errorf("%d crashes with missing pieces", len(a.list))
	}
	for _, odd := range []Piece{
		{Crash{1, manyParts(1, 64), start}, 1, 0, MaxParts + 1},
		{Crash{1, manyParts(1, 64), start}, 2, 65, 128},
		{Crash{1, manyParts(1, 64), start}, 3, 0, 0},
		{Crash{1, manyParts(1, 64), start}, uint64(10*maxAssemblies - 1), 0, 64},
	} {
		if c, complete := a.Add(odd, start); complete {
			t.Errorf("a piece from %d of %d makes up a crash of %d parts", odd.From, odd.Of, len(c.Parts))
		}
	}
	a.Add(Piece{Crash{1, manyParts(1, 64), start}, 1, 0, 128}, start.Add(assemblyTime+1))
	if len(a.list) != 1 {
		t.Errorf("%d crashes after the time in which pieces may arrive", len(a.list))
	}
}

// TestLatePartOfLongRequestIsTheCause guards against a part that is not found since its requests have MaxParts, and against memory that grows with them.
func TestLatePartOfLongRequestIsTheCause(t *testing.T) {
	for _, position := range []int{0, 61, 62, 63, 64, 1000, MaxParts - 1} {
		tracker := NewTracker()
		for i := range 3 {
			parts := manyParts(Part(10_000*(i+1)), MaxParts)
			parts[position] = bad
			record(tracker, at(100*i), Process(i), parts...)
		}
		if !isQuarantined(tracker, bad, at(300)) {
			t.Errorf("part %d is not quarantined after three crashes with different parts beside it", position)
		}
	}
	tracker := NewTracker()
	for i := range 200 {
		record(tracker, at(i), Process(i), manyParts(Part(10_000*(i+1)), MaxParts)...)
	}
	if tracker.crashes.parts > maxCrashParts || len(tracker.crashes.byPart) != tracker.crashes.parts {
		t.Errorf("%d parts of crashes are kept, %d in the index", tracker.crashes.parts, len(tracker.crashes.byPart))
	}
}

// TestStoredCrashesKeepTheSuspectedParts guards against rows that are too large for the store, and against leaving out the part at which several upstreams have ended.
func TestStoredCrashesKeepTheSuspectedParts(t *testing.T) {
	tracker := NewTracker()
	for i := range 2 {
		parts := manyParts(Part(10_000*(i+1)), MaxParts)
		parts[MaxParts-5] = bad
		record(tracker, at(1000*i), Process(i), parts...)
	}
	for _, c := range tracker.ToStore(0, 10, at(2000)) {
		if len(c.Parts) > maxStoredParts || !slices.Contains(c.Parts, bad) {
			t.Errorf("%d parts are stored, the suspected one among them: %v", len(c.Parts), slices.Contains(c.Parts, bad))
		}
	}
}

// TestIndexFollowsTheCrashes guards against an index that differs from the crashes that are kept, after any order of crashes, answers, adopted rows and pauses.
func TestIndexFollowsTheCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(), start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, time.Minute, 11 * time.Minute}).Draw(t, "pause"))
			parts := rapid.SliceOfN(rapid.Map(rapid.IntRange(1, 8), func(n int) Part { return Part(n) }), 1, 6).Draw(t, "parts")
			process := Process(rapid.IntRange(1, 5).Draw(t, "process"))
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				tracker.RecordAnswer(parts, now)
			case 1:
				tracker.AdoptStored(StoredCrash{uint64(process), process, parts}, now)
			default:
				record(tracker, now, process, parts...)
			}
			checkIndex(t, &tracker.crashes)
		}
	})
}

func checkIndex(t *rapid.T, l *crashLog) {
	parts, links := 0, 0
	for _, r := range l.list {
		if len(r.Parts) == 0 {
			t.Fatal("a crash without parts is kept")
		}
		parts += len(r.Parts)
		for _, part := range r.Parts {
			if !slices.Contains(l.byPart[part], r) {
				t.Fatalf("part %d of a crash is not in the index", part)
			}
		}
	}
	for part, list := range l.byPart {
		links += len(list)
		for _, r := range list {
			if !slices.Contains(l.list, r) || !slices.Contains(r.Parts, part) {
				t.Fatalf("the index has part %d of a crash that has none", part)
			}
		}
	}
	if parts != l.parts || links > parts {
		t.Fatalf("%d parts are counted, %d kept, %d in the index", l.parts, parts, links)
	}
}
