package quarantine

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	first Part = iota + 1
	bad
	rare
	other
)

// at returns a time of the test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// record records a crash at the moment at which it happens.
func record(t *Tracker, now time.Time, process Process, parts ...Part) (isNew bool) {
	isNew, _ = t.RecordCrash(Crash{Process: process, Parts: parts, At: now}, now)
	return isNew
}

func tries(Part) bool { return true }

func triesNever(Part) bool { return false }

func isQuarantined(t *Tracker, part Part, now time.Time) bool {
	return t.Refused([]Part{part}, now, triesNever) > 0
}

// TestLaterPartIsTheCause guards against refusing all prompts that share the first part with those that end engines.
func TestLaterPartIsTheCause(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		record(tracker, at(100*i), Process(i), first, bad)
	}
	if !isQuarantined(tracker, bad, at(300)) || isQuarantined(tracker, first, at(300)) {
		t.Error("the part that all crashes share and no other prompts have is not the one that is quarantined")
	}
}

// TestFirstPartCanBeTheCause guards against never finding a part that other parts follow.
func TestFirstPartCanBeTheCause(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		record(tracker, at(100*i), Process(i), bad, Part(100+i))
	}
	if !isQuarantined(tracker, bad, at(300)) {
		t.Error("not quarantined after three crashes with different parts behind it")
	}
}

// TestAnsweredPartIsSound guards against quarantining a part of prompts that are answered between crashes.
func TestAnsweredPartIsSound(t *testing.T) {
	tracker := NewTracker()
	for i := range 10 {
		record(tracker, at(100*i), Process(i), first)
		if i%2 == 1 {
			if cleared, _ := tracker.RecordAnswer([]Part{first, other}, at(100*i+1)); !slices.Equal(cleared, []Part{first}) {
				t.Errorf("cleared %v, want the suspected part only", cleared)
			}
		}
	}
	if isQuarantined(tracker, first, at(1000)) || !tracker.Idle() {
		t.Error("a part that was answered after each second crash is suspected")
	}
}

// TestEnginesThatEndTogether guards against refusing frequent prompts because many engines lost power at once.
func TestEnginesThatEndTogether(t *testing.T) {
	tracker := NewTracker()
	for i := range 8 {
		record(tracker, at(10*i), Process(i), first)
	}
	if isQuarantined(tracker, first, at(100)) {
		t.Error("quarantined after crashes at one moment")
	}
}

// TestExplainedCrashesCountForNoOtherPart guards against quarantining parts of prompts that ran beside those that end engines.
func TestExplainedCrashesCountForNoOtherPart(t *testing.T) {
	tracker := NewTracker()
	for i := range 9 {
		record(tracker, at(100*i), Process(i), first, rare)
		record(tracker, at(100*i), Process(i), first, bad)
		if i == 0 {
			tracker.RecordAnswer([]Part{rare}, at(50))
		}
	}
	if !isQuarantined(tracker, bad, at(900)) || isQuarantined(tracker, rare, at(900)) || isQuarantined(tracker, first, at(900)) {
		t.Errorf("quarantined %v", tracker.Quarantines(at(900)))
	}
}

// TestRareEndsOfAPartThatWasAnsweredLatelyCount guards against a part that becomes one that ends engines and is found only after nine, since it was answered a minute ago.
func TestRareEndsOfAPartThatWasAnsweredLatelyCount(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordAnswer([]Part{first, bad}, start)
	for i := range 5 {
		record(tracker, at(4000*(i+1)), Process(i), first, bad, Part(100+i))
		tracker.RecordAnswer([]Part{first}, at(4000*(i+1)+10))
	}
	if !isQuarantined(tracker, bad, at(20100)) || isQuarantined(tracker, first, at(20100)) {
		t.Errorf("quarantined after five ends in 16 s: %v", tracker.Quarantines(at(20100)))
	}
}

// TestCompanionsHideNoPart guards against blaming, one after the other, the parts that follow the one that ends engines.
func TestCompanionsHideNoPart(t *testing.T) {
	tracker := NewTracker()
	ends := 0
	for ; ends < 12 && !isQuarantined(tracker, bad, at(300*ends)); ends++ {
		companion := Part(100 + ends/3)
		if isQuarantined(tracker, companion, at(300*ends)) {
			companion++
		}
		record(tracker, at(300*ends), Process(ends), first, bad, companion)
		tracker.RecordAnswer([]Part{first}, at(300*ends+10))
	}
	if ends > 5 {
		t.Errorf("quarantined after %d ends, want 5 at most", ends)
	}
}

// TestNextProcessUnderAnIDCounts guards against few upstreams that restart under their IDs, unknown to the instances, and end again uncounted.
func TestNextProcessUnderAnIDCounts(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		record(tracker, at(4000*i), 1, bad)
	}
	if !isQuarantined(tracker, bad, at(8000)) {
		t.Error("not quarantined after three ends under one ID, 4 s apart")
	}
}

// TestFewerEndsCountWhileOthersMayBeForgotten guards against a restart of all, while the store is away, after which a part ends three more upstreams, and against blaming parts that are answered.
func TestFewerEndsCountWhileOthersMayBeForgotten(t *testing.T) {
	tracker := NewTracker()
	tracker.SetIncomplete(time.Minute, start)
	tracker.RecordAnswer([]Part{first}, at(0))
	for i := range 2 {
		record(tracker, at(1000*(i+1)), Process(i), first, bad)
	}
	if !isQuarantined(tracker, bad, at(2100)) || isQuarantined(tracker, first, at(2100)) {
		t.Errorf("quarantined after two ends: %v", tracker.Quarantines(at(2100)))
	}
	later := NewTracker()
	later.SetIncomplete(time.Minute, start)
	for i := range 2 {
		record(later, at(61000+1000*i), Process(i), bad)
	}
	if isQuarantined(later, bad, at(62100)) {
		t.Error("quarantined after two ends a minute after the start")
	}
}

// TestRepeatedMessageCountsOnce guards against counting one crash for each datagram and each instance that tells of it.
func TestRepeatedMessageCountsOnce(t *testing.T) {
	tracker := NewTracker()
	for i := range 9 {
		isNew := record(tracker, at(100*i), 1, bad)
		if isNew != (i == 0) {
			t.Errorf("message %d: new %v", i, isNew)
		}
		record(tracker, at(100*i), 1, bad, Part(100+i))
	}
	if isQuarantined(tracker, bad, at(900)) {
		t.Error("quarantined after the end of one process")
	}
	tracker.RecordAnswer([]Part{bad}, at(900))
	if record(tracker, at(901), 1, bad); tracker.Suspected([]Part{bad}) {
		t.Error("suspected again by a late message")
	}
}

func quarantine(tracker *Tracker, firstProcess Process, now time.Time) {
	for i := range 3 {
		record(tracker, now.Add(time.Duration(i)*minSpan), firstProcess+Process(i), bad)
	}
}

// TestAnswerLiftsQuarantine guards against refusing a sound part for good, and against taking the quarantine over again.
func TestAnswerLiftsQuarantine(t *testing.T) {
	tracker := NewTracker()
	quarantine(tracker, 1, start)
	if !isQuarantined(tracker, bad, at(300)) {
		t.Fatal("not quarantined")
	}
	told := tracker.Quarantines(at(300))
	tracker.RecordAnswer([]Part{bad}, at(300))
	if isQuarantined(tracker, bad, at(300)) {
		t.Error("still quarantined after an answer")
	}
	if _, answered := tracker.Adopt(told[0], at(400)); answered != at(300) || isQuarantined(tracker, bad, at(400)) {
		t.Error("taken over from an instance that does not know of the answer")
	}
	newer := told[0]
	newer.Since = at(301)
	if added, _ := tracker.Adopt(newer, at(400)); !added || !isQuarantined(tracker, bad, at(400)) {
		t.Error("not taken over although a process ended after the answer")
	}
}

// TestLateAnswerLiftsNoNewQuarantine guards against instances that lift each other's quarantines by telling an old answer again and again.
func TestLateAnswerLiftsNoNewQuarantine(t *testing.T) {
	tracker := NewTracker()
	quarantine(tracker, 1, start)
	if cleared, lifted := tracker.RecordAnswer([]Part{bad}, start.Add(-1)); len(cleared)+len(lifted) != 0 || !isQuarantined(tracker, bad, at(300)) {
		t.Error("an answer from before the crashes lifts the quarantine")
	}
	tracker = NewTracker()
	record(tracker, at(0), 1, bad)
	tracker.RecordAnswer([]Part{bad}, at(10))
	for i := range 3 {
		isNew, _ := tracker.RecordCrash(Crash{Process: Process(10 + i), Parts: []Part{bad}, At: at(i)}, at(500))
		if !isNew {
			t.Error("not told to others")
		}
	}
	if tracker.Suspected([]Part{bad}) {
		t.Error("suspected because of crashes before the answer")
	}
}

// TestOneTrialAtATime guards against engines that all instances end when a quarantine is over, and against a sound part that is refused for good.
func TestOneTrialAtATime(t *testing.T) {
	tracker := NewTracker()
	quarantine(tracker, 1, start)
	parts := []Part{first, bad}
	due := start.Add(2*minSpan + firstDuration)
	if tracker.Refused(parts, due.Add(-1), tries) == 0 {
		t.Error("tried too early")
	}
	if tracker.Refused(parts, due, triesNever) == 0 {
		t.Error("sent by an instance that makes no trial")
	}
	other := NewTracker()
	if added, _ := other.Adopt(tracker.Quarantines(due)[0], due); added {
		if other.Refused(parts, due.Add(trialPatience-1), triesNever) == 0 || other.Refused(parts, due.Add(trialPatience), triesNever) != 0 {
			t.Error("not tried by another instance when the one that is to try it gets no prompt")
		}
	}
	if tracker.Refused(parts, due, tries) != 0 {
		t.Error("not tried")
	}
	if tracker.Refused(parts, due.Add(trialInterval-1), tries) == 0 {
		t.Error("tried twice")
	}
	if tracker.Refused(parts, due.Add(trialInterval), tries) != 0 {
		t.Error("not tried again after a trial that showed nothing")
	}
	crashedAt := due.Add(trialInterval + time.Second)
	record(tracker, crashedAt, 9, first, bad)
	if left := tracker.Refused(parts, crashedAt, tries); left != baseDuration {
		t.Errorf("refused for %v after a trial that ended an engine, want %v", left, baseDuration)
	}
	tracker.RecordAnswer(parts, crashedAt)
	if tracker.Refused(parts, crashedAt, triesNever) != 0 || !tracker.Idle() {
		t.Error("refused after an answer")
	}
}

// TestLateCrashIsNoTrial guards against a longer quarantine because of prompts that were sent before it.
func TestLateCrashIsNoTrial(t *testing.T) {
	tracker := NewTracker()
	quarantine(tracker, 1, start)
	record(tracker, at(300), 9, first, bad)
	if left := tracker.Refused([]Part{bad}, at(300), tries); left > baseDuration || left <= 0 {
		t.Errorf("refused for %v", left)
	}
	if len(tracker.Crashes()) != 0 {
		t.Error("the crash speaks against the first part")
	}
}

// TestMemoryIsBounded guards against memory that grows with crashes and with parts.
func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 4 * maxCrashes {
		record(tracker, start, Process(i), Part(1000+i))
		tracker.Adopt(Quarantine{Part(5000 + i), start, time.Minute}, start)
	}
	if len(tracker.crashes.list) > maxCrashes || len(tracker.quarantined) > maxQuarantines {
		t.Errorf("%d crashes, %d quarantines", len(tracker.crashes.list), len(tracker.quarantined))
	}
	record(tracker, start.Add(maxDuration), 1, bad)
	if len(tracker.crashes.list) != 1 || len(tracker.seen) != 1 || len(tracker.quarantined) != 0 {
		t.Errorf("after a day: %d crashes, %d messages, %d quarantines", len(tracker.crashes.list), len(tracker.seen), len(tracker.quarantined))
	}
}

// TestOftenAnsweredRequestIsNotBlamedForOtherEnds guards against refusing requests that are often sent and were at several upstreams that ended one after the other for other reasons.
func TestOftenAnsweredRequestIsNotBlamedForOtherEnds(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordAnswer([]Part{rare}, start)
	for i := range 4 {
		record(tracker, at(150*(i+1)), Process(i), rare)
	}
	if isQuarantined(tracker, rare, at(700)) {
		t.Error("quarantined after four ends, though it was answered just before")
	}
	for i := range 5 {
		record(tracker, at(800+100*i), Process(10+i), rare)
	}
	if !isQuarantined(tracker, rare, at(1300)) {
		t.Error("never quarantined, though it ends upstream after upstream since it was answered")
	}
}
