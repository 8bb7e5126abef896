// Package poll calls a set of targets periodically, spread evenly over the
// interval and with bounded concurrency.
package poll

import (
	"cmp"
	"context"
	"encoding/binary"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Target is something that is polled.
type Target struct {
	ID   string
	Addr string // IP:port
}

// Loop polls targets until its context ends.
type Loop struct {
	Interval time.Duration // between two polls of one target
	// Spacing is the least pause between two polls of any targets. With many
	// targets it stretches the interval, up to MaxInterval.
	Spacing     time.Duration
	MaxInterval time.Duration // 0 means Interval
	Timeout     time.Duration // of one poll
	Concurrency int           // polls that run at a time
	Rand        *rand.Rand    // order of the targets; used at the start of Run only
	Targets     func() []Target
	Poll        func(ctx context.Context, t Target)
}

// Run polls until ctx ends and waits for polls under way. A target whose last
// poll still runs is passed over.
func (l *Loop) Run(ctx context.Context) error {
	seed := l.Rand.Uint64()
	slots := make(chan struct{}, l.Concurrency)
	running := &busy{ids: map[string]bool{}}
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		targets := l.Targets()
		arrange(targets, seed)
		pause := l.pause(len(targets))
		if len(targets) == 0 {
			wait(ctx, pause)
			continue
		}
		for _, t := range targets {
			if !wait(ctx, pause) {
				return nil
			}
			if !running.start(t.ID) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				defer running.end(t.ID)
				l.one(ctx, t)
			})
		}
	}
	return nil
}

// arrange sorts targets by a hash of seed and ID: instances poll in different
// orders, and a target keeps its place from one round to the next, so that it
// never waits for two intervals.
func arrange(targets []Target, seed uint64) {
	place := make(map[string]uint64, len(targets))
	for _, t := range targets {
		h := fnv.New64a()
		_ = binary.Write(h, binary.LittleEndian, seed)
		_, _ = io.WriteString(h, t.ID)
		place[t.ID] = h.Sum64()
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(place[a.ID], place[b.ID]) })
}

// pause returns the time between two polls of n targets.
func (l *Loop) pause(n int) time.Duration {
	n = max(1, n)
	longest := max(l.Interval, l.MaxInterval) / time.Duration(n)
	return min(max(l.Interval/time.Duration(n), l.Spacing), longest)
}

func (l *Loop) one(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	l.Poll(ctx, t)
}

// wait pauses for d and reports whether ctx is still valid.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// busy is the set of targets whose poll is under way.
type busy struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (b *busy) start(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ids[id] {
		return false
	}
	b.ids[id] = true
	return true
}

func (b *busy) end(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ids, id)
}
