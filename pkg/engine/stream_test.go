package engine_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func event(seq int, id string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q}\n\n", seq, id)
}

const done = "id: 3\ndata: [DONE]\n\n"

// TestReadStream guards against a stream being relayed as complete although an
// event is missing, repeated, truncated or from another request.
func TestReadStream(t *testing.T) {
	cases := []struct {
		name, body string
		after      uint64
		want       error
		events     int
	}{
		{"complete", event(1, "r") + ": comment\n\n" + event(2, "r") + done, 0, nil, 3},
		{"carriage returns", strings.ReplaceAll(event(1, "r")+event(2, "r")+done, "\n", "\r\n"), 0, nil, 3},
		{"resumed", event(2, "r") + done, 1, nil, 2},
		{"no end marker", event(1, "r") + event(2, "r"), 0, engine.ErrTruncated, 2},
		{"truncated event", event(1, "r") + "id: 2\ndata: {\"id\":\"r\"}\n", 0, engine.ErrTruncated, 1},
		{"missing event", event(2, "r") + done, 0, engine.ErrSequence, 0},
		{"repeated event", event(1, "r") + event(1, "r"), 0, engine.ErrSequence, 1},
		{"no sequence number", event(1, "r") + "data: {\"id\":\"r\"}\n\n", 0, engine.ErrSequence, 1},
		{"other request", event(1, "r") + event(2, "x") + done, 0, engine.ErrRequestIDMismatch, 1},
		{"not JSON", event(1, "r") + "id: 2\ndata: {\n\n", 0, engine.ErrMalformed, 1},
		{"empty", "", 0, engine.ErrTruncated, 0},
	}
	for _, c := range cases {
		n := 0
		var got error
		for _, err := range engine.ReadStream(strings.NewReader(c.body), engine.StreamCheck{RequestID: "r", After: c.after}) {
			if err != nil {
				got = err
				break
			}
			n++
		}
		if !errors.Is(got, c.want) || n != c.events {
			t.Errorf("%s: %d events, error %v, want %d and %v", c.name, n, got, c.events, c.want)
		}
	}
}

// endlessReader returns event data without end and counts the bytes read.
type endlessReader struct{ read int }

func (e *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// TestStreamMemory guards against an event of unlimited size exhausting memory.
func TestStreamMemory(t *testing.T) {
	source := &endlessReader{}
	body := io.MultiReader(strings.NewReader("id: 1\ndata: "), source)
	var got error
	for _, err := range engine.ReadStream(body, engine.StreamCheck{}) {
		got = err
	}
	if !errors.Is(got, engine.ErrTruncated) || source.read > 2*engine.MaxStreamEventBytes {
		t.Errorf("error %v after %d bytes", got, source.read)
	}
}

func FuzzReadStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, body string) {
		last := uint64(0)
		for e, err := range engine.ReadStream(strings.NewReader(body), engine.StreamCheck{RequestID: "r"}) {
			if err != nil {
				return
			}
			if e.Seq != last+1 {
				t.Fatalf("event %d after %d", e.Seq, last)
			}
			last = e.Seq
			if e.Done {
				return
			}
			var parsed struct{ ID string }
			if json.Unmarshal([]byte(e.Data), &parsed) != nil || parsed.ID != "r" {
				t.Fatalf("accepted event %q", e.Data)
			}
		}
		t.Error("a stream without end marker ended without error")
	})
}

func FuzzDecodeEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := engine.DecodeEvents(data)
		if err != nil {
			return
		}
		last := uint64(0)
		for _, e := range batch.Events {
			if e.Seq <= last || e.Seq > batch.Seq || batch.Snapshot {
				t.Fatalf("accepted %+v", batch)
			}
			last = e.Seq
		}
	})
}

func FuzzDecodeAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if report, err := engine.DecodeLoad(data); err == nil && (report.Running < 0 || report.Age < 0) {
			t.Fatalf("accepted %+v", report)
		}
		_, _ = engine.DecodeResult(data)
		_, _ = engine.DecodeTransfer(data)
		if usage, err := engine.ParseResponse(data, "r"); err != nil && usage != nil {
			t.Fatal("usage returned for a rejected response")
		}
	})
}
