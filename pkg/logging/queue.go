package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Queue is a writer that never blocks: a goroutine passes lines on, and lines
// that do not fit are dropped and counted.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewQueue returns a queue of at most n lines before out.
func NewQueue(out io.Writer, n int) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, n), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer for one whole line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

func (q *Queue) run() {
	defer close(q.done)
	reported := int64(0)
	for line := range q.lines {
		if line == nil {
			return
		}
		// Nothing can be done about a standard output that fails.
		_, _ = q.out.Write(line)
		if dropped := q.dropped.Load(); dropped > reported && len(q.lines) == 0 {
			_, _ = fmt.Fprintf(q.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"total\":%d}\n", dropped)
			reported = dropped
		}
	}
}

// Close waits a short time until the queue is written out.
func (q *Queue) Close(wait time.Duration) {
	q.closing.Do(func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case q.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-q.done:
		case <-timer.C:
		}
	})
}
