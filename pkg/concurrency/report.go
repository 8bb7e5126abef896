package concurrency

import (
	"time"
)

// Report is what one instance tells the others of an upstream. The limit includes those
// that other instances reported; the other figures are only what this instance measured or
// received itself, so that reports do not reinforce each other.
type Report struct {
	Stated  float64       // slowdown that the upstream stated; 0: none was received lately
	Age     time.Duration // of the statement
	Learned float64       // slowdown measured by the sender, apart from the stated one; 0: none
	Limit   int           // learned limit; 0: none was learned
}

const (
	// maxReportedAge is the age up to which a statement is reported and adopted.
	maxReportedAge = statementValidity
	// maxReportedStep bounds the ratio by which one report changes the reported speed, so
	// that an instance with a slow link to the upstream has little effect on the others.
	maxReportedStep = 1.5
	// reportedWeight is the weight of a report in the reported speed and in the limit.
	reportedWeight = 0.5
)

// Report returns what this instance tells the others.
func (t *Tracker) Report(now time.Time) Report {
	var r Report
	if age := now.Sub(t.stated.at); t.stated.direct && t.stated.value > 0 && age <= maxReportedAge && t.trust.ok() {
		r.Stated, r.Age = t.stated.value, max(0, age)
	}
	if t.relative.samples > 0 && now.Sub(t.relative.at) < t.cfg.DecayTime {
		r.Learned = t.relative.slowdown(now)
	}
	if t.limit.value > 0 {
		r.Limit = int(t.learnedLimit())
	}
	return r
}

// Merge takes over the report of another instance. Implausible values are ignored or
// bounded, and an older statement than the known one is ignored.
func (t *Tracker) Merge(now time.Time, r Report) {
	if at := now.Add(-r.Age); r.Stated > 0 && r.Age >= 0 && r.Age <= maxReportedAge && at.After(t.stated.at) {
		t.stated.set(r.Stated, at, false)
	}
	if r.Learned > 0 {
		before := t.told.slowdown(now)
		slowdown := min(max(r.Learned, before/maxReportedStep, minRatio), before*maxReportedStep, maxRatio)
		t.told.add(1/slowdown, Config{FasterWeight: reportedWeight, SlowerWeight: reportedWeight, DecayTime: t.cfg.DecayTime}, now)
	}
	if r.Limit > 0 {
		limit := t.learnedLimit()
		t.limit.value = limit + reportedWeight*(min(float64(r.Limit), float64(t.slots()))-limit)
	}
}

// Changed reports whether a report differs noticeably from one that was sent before, or
// renews a statement of a slowdown that expires.
func (r Report) Changed(before Report, sentAgo time.Duration) bool {
	switch {
	case r.Stated > 0 && before.Stated > 0 && Differ(r.Stated, before.Stated), r.Stated > noticeableChange && before.Stated == 0:
		return true
	case r.Stated > noticeableChange && sentAgo > statementValidity/2:
		return true
	case r.Learned > 0 && Differ(r.Learned, max(before.Learned, minRatio)) && (before.Learned > 0 || Differ(r.Learned, 1)):
		return true
	}
	return r.Limit != before.Limit
}
