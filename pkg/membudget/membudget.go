// Package membudget bounds the memory of data that is read whole before it is
// passed on, over all requests of a process.
package membudget

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge is returned for data that exceeds its own limit.
	ErrTooLarge = errors.New("data exceeds its size limit")
	// ErrExhausted is returned when other data holds the rest of the budget.
	ErrExhausted = errors.New("memory budget is exhausted")
)

// initialBufferBytes is the size of the first buffer for data of unknown length.
const initialBufferBytes = 4 << 10

// Budget is a number of bytes that buffers share. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

func (b *Budget) reserve(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Buffer is data that counts against a budget until Release is called.
type Buffer struct {
	Bytes    []byte
	budget   *Budget
	reserved int64
}

// Release gives the reserved bytes back. Further calls, and calls on nil, have no
// effect.
func (f *Buffer) Release() {
	if f == nil {
		return
	}
	f.budget.held.Add(-f.reserved)
	f.reserved = 0
}

// grow reserves n more bytes.
func (f *Buffer) grow(n int64) error {
	if !f.budget.reserve(n) {
		return ErrExhausted
	}
	f.reserved += n
	return nil
}

// Read reads r to its end. length is the number of bytes that r announces, or -1.
// It fails with ErrTooLarge for more than limit bytes, with ErrExhausted, or with
// the error of r. On success the caller must release the buffer.
func (b *Budget) Read(r io.Reader, length, limit int64) (*Buffer, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	f := &Buffer{budget: b}
	err := f.read(r, length, limit)
	if err != nil {
		f.Release()
		return nil, err
	}
	return f, nil
}

func (f *Buffer) read(r io.Reader, length, limit int64) error {
	if length < 0 {
		return f.readToEnd(r, limit)
	}
	if err := f.grow(length); err != nil {
		return err
	}
	f.Bytes = make([]byte, length)
	_, err := io.ReadFull(r, f.Bytes)
	return err
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
