package edge

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseTick is the interval at which the process notes that it runs.
	pauseTick = 100 * time.Millisecond
	// minPause is the time without a tick that counts as a pause of the process. Shorter
	// ones come with load.
	minPause = 500 * time.Millisecond
	// pauseMemory is how long after its end the last pause counts: what arrived during it
	// is handled then. Later answers of the store are to later calls.
	pauseMemory = 400 * time.Millisecond
)

// pauses knows when the process last stood still. What it learns afterwards may have been
// so since the pause began.
type pauses struct {
	now func() time.Time

	mu       sync.Mutex
	tickedAt time.Time
	began    time.Time // of the last pause
	ended    time.Time
}

func newPauses(now func() time.Time) *pauses { return &pauses{now: now, tickedAt: now()} }

// run notes that the process runs until ctx ends.
func (p *pauses) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.note()
		sleep(ctx, pauseTick)
	}
}

// note records that the process runs now.
func (p *pauses) note() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Sub(p.tickedAt) >= minPause {
		p.began, p.ended = p.tickedAt, now
	}
	p.tickedAt = now
}

// earliest returns the time from which something may have been so that this instance
// learns now.
func (p *pauses) earliest() time.Time {
	p.note()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); p.ended.IsZero() || now.Sub(p.ended) > pauseMemory {
		return now
	}
	return p.began
}
