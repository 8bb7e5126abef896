package membudget

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// endless never ends and counts what was read of it.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// TestEndlessDataIsBounded guards against a buffer that grows for as long as its
// sender goes on.
func TestEndlessDataIsBounded(t *testing.T) {
	const limit = 1 << 20
	b := New(16 << 20)
	source := &endless{}
	if _, err := b.Read(source, -1, limit); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
	if source.read > 2*limit {
		t.Errorf("read %d bytes with a limit of %d", source.read, limit)
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes stay reserved after a failed read", b.Held())
	}
}

// TestAnnouncedBytesAreNotHeld guards against a budget that is used up by senders that announce much and send little, and against long data that is read wrong.
func TestAnnouncedBytesAreNotHeld(t *testing.T) {
	b := New(4 << 20)
	reader, writer := io.Pipe()
	failed := make(chan error, 1)
	go func() {
		_, err := Read(b, reader, 3<<20, 4<<20)
		failed <- err
	}()
	_, _ = writer.Write([]byte("x"))
	if held := b.Held(); held > maxFirstBuffer {
		t.Errorf("%d bytes are held for one", held)
	}
	_ = writer.Close()
	if err := <-failed; !errors.Is(err, io.ErrUnexpectedEOF) || b.Held() != 0 {
		t.Errorf("error %v, %d bytes stay reserved", err, b.Held())
	}
	text := strings.Repeat("0123456789", 100_000)
	buffer, err := Read(b, strings.NewReader(text), int64(len(text)), 4<<20)
	if err != nil || string(buffer.Bytes) != text || b.Held() != int64(len(text)) {
		t.Errorf("error %v, %d bytes held", err, b.Held())
	}
}

// TestExhaustedBudgetAsksForRoom guards against responses that fail while readers which take nothing hold the memory.
func TestExhaustedBudgetAsksForRoom(t *testing.T) {
	b := New(100)
	held, _ := b.Read(strings.NewReader(strings.Repeat("x", 90)), 90, 100)
	b.OnExhausted(func() bool { held.Release(); return true })
	if _, err := b.Read(strings.NewReader(strings.Repeat("x", 50)), 50, 100); err != nil {
		t.Error(err)
	}
}

// TestBuffersShareTheBudget guards against a process that is killed for its memory
// because many requests hold a large body at the same time.
func TestBuffersShareTheBudget(t *testing.T) {
	b := New(100 << 10)
	text := strings.Repeat("x", 60<<10)
	first, err := b.Read(strings.NewReader(text), int64(len(text)), 1<<20)
	if err != nil || string(first.Bytes) != text {
		t.Fatalf("error %v", err)
	}
	for _, length := range []int64{int64(len(text)), -1} {
		if _, err := b.Read(strings.NewReader(text), length, 1<<20); !errors.Is(err, ErrExhausted) {
			t.Errorf("length %d: error %v, want ErrExhausted", length, err)
		}
	}
	first.Release()
	first.Release()
	second, err := b.Read(strings.NewReader(text), -1, 1<<20)
	if err != nil || string(second.Bytes) != text {
		t.Fatalf("after the release: error %v", err)
	}
	second.Release()
	if b.Held() != 0 {
		t.Errorf("%d bytes stay reserved", b.Held())
	}
}

// TestShortDataIsAnError guards against data that ends early and looks complete.
func TestShortDataIsAnError(t *testing.T) {
	b := New(1 << 20)
	if _, err := b.Read(strings.NewReader("abc"), 4, 1<<20); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want ErrUnexpectedEOF", err)
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes stay reserved", b.Held())
	}
}
