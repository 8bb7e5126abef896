package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Queue is a non-blocking writer. A goroutine writes queued lines to the
// underlying writer; lines that arrive while the queue is full are dropped and
// counted.
type Queue struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewQueue starts a queue that buffers up to n lines for out.
func NewQueue(out io.Writer, n int) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, n), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of one whole line, or drops it if the queue is full. It
// never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the queue was created.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

func (q *Queue) run() {
	defer close(q.done)
	reported := int64(0)
	for line := range q.lines {
		if line == nil {
			return
		}
		// A failed write to the log output cannot be reported anywhere else.
		_, _ = q.out.Write(line)
		if dropped := q.dropped.Load(); dropped > reported && len(q.lines) == 0 {
			_, _ = fmt.Fprintf(q.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"total\":%d}\n", dropped)
			reported = dropped
		}
	}
}

// Close stops the queue and waits up to the given time for the remaining lines
// to be written. Lines still queued after that may be lost.
func (q *Queue) Close(timeout time.Duration) {
	q.closeOnce.Do(func() {
		timer := time.NewTimer(timeout)
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
