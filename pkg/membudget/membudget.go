// Package membudget bounds the memory of data that is read whole before it is
// passed on, over all requests of a process.
package membudget

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge is returned for data that exceeds its own limit.
	ErrTooLarge = errors.New("data exceeds its size limit")
	// ErrExhausted is returned when other data holds the rest of the budget.
	ErrExhausted = errors.New("memory budget is exhausted")
)

// Bounds of the first buffer in bytes. Data of a known length up to maxFirstBuffer is read
// without copying. Memory for longer data is reserved as bytes arrive, so that senders that
// announce much and send nothing hold little.
const (
	initialBufferBytes = 4 << 10
	maxFirstBuffer     = 64 << 10
	growthFactor       = 4 // of data of a known length
)

const (
	// largeShare is the share of a budget that reservations of more than smallReservation
	// bytes may use. The rest is kept for short data, so that long data which stalls does not
	// hold it up.
	largeShare       = 0.75
	smallReservation = 8 << 10
)

// Reserver is what memory is reserved from.
type Reserver interface {
	// Reserve reserves n bytes, or returns false.
	Reserve(n int64) bool
	Release(n int64)
}

// Budget is a number of bytes that buffers share. It is safe for concurrent use.
type Budget struct {
	limit    int64
	held     atomic.Int64
	makeRoom func() bool // reports whether held bytes will be released soon; may be nil
}

const (
	// roomWait is how long Read waits at most for bytes that makeRoom has promised, and
	// roomPoll the time between looks.
	roomWait = 100 * time.Millisecond
	roomPoll = 5 * time.Millisecond
)

// OnExhausted sets a function that Read calls when the budget is exhausted. It reports
// whether bytes will be released soon. It must be set before the budget is used.
func (b *Budget) OnExhausted(makeRoom func() bool) *Budget {
	b.makeRoom = makeRoom
	return b
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Reserve reserves n bytes. If there is no room, it asks for some and waits for it a short while;
// it returns false if there is none then.
func (b *Budget) Reserve(n int64) bool {
	if b.reserve(n) {
		return true
	}
	if b.makeRoom == nil || n > b.limit || !b.makeRoom() {
		return false
	}
	for range roomWait / roomPoll {
		time.Sleep(roomPoll)
		if b.reserve(n) {
			return true
		}
	}
	return false
}

func (b *Budget) reserve(n int64) bool {
	limit := b.limit
	if n > smallReservation {
		limit = int64(largeShare * float64(b.limit))
	}
	if b.held.Add(n) > limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release gives n reserved bytes back.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Buffer is data that counts against a budget until Release is called.
type Buffer struct {
	Bytes    []byte
	budget   Reserver
	reserved int64
}

// Release gives the reserved bytes back. Further calls, and calls on nil, have no
// effect.
func (f *Buffer) Release() {
	if f == nil {
		return
	}
	f.budget.Release(f.reserved)
	f.reserved = 0
}

// grow reserves n more bytes.
func (f *Buffer) grow(n int64) error {
	if !f.budget.Reserve(n) {
		return ErrExhausted
	}
	f.reserved += n
	return nil
}

// Read reads r to its end. length is the number of bytes that r announces, or -1.
// It fails with ErrTooLarge for more than limit bytes, with ErrExhausted, or with
// the error of r. On success the caller must release the buffer.
func (b *Budget) Read(r io.Reader, length, limit int64) (*Buffer, error) {
	return Read(b, r, length, limit)
}

// Read is like Budget.Read and reserves the memory from b, as bytes arrive.
func Read(b Reserver, r io.Reader, length, limit int64) (*Buffer, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	f := &Buffer{budget: b}
	err := f.read(r, length, limit, min(length, maxFirstBuffer))
	if err != nil {
		f.Release()
		return nil, err
	}
	return f, nil
}

func (f *Buffer) read(r io.Reader, length, limit, first int64) error {
	if length < 0 {
		return f.readToEnd(r, limit)
	}
	for size := first; ; size = min(length, growthFactor*size) {
		have := int64(len(f.Bytes))
		if err := f.grow(size - have); err != nil {
			return err
		}
		// The old buffer is garbage after the copy and is not counted.
		f.Bytes = append(make([]byte, 0, size), f.Bytes...)[:size]
		if _, err := io.ReadFull(r, f.Bytes[have:]); err != nil || size == length {
			return err
		}
	}
}

func (f *Buffer) readToEnd(r io.Reader, limit int64) error {
	if err := f.grow(initialBufferBytes); err != nil {
		return err
	}
	f.Bytes = make([]byte, 0, initialBufferBytes)
	for {
		if len(f.Bytes) == cap(f.Bytes) {
			// The old buffer is garbage after the copy and is not counted.
			if err := f.grow(int64(cap(f.Bytes))); err != nil {
				return err
			}
			f.Bytes = append(make([]byte, 0, 2*cap(f.Bytes)), f.Bytes...)
		}
		n, err := r.Read(f.Bytes[len(f.Bytes):cap(f.Bytes)])
		f.Bytes = f.Bytes[:len(f.Bytes)+n]
		if int64(len(f.Bytes)) > limit {
			return ErrTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
