package engine

import (
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// MaxStreamEventBytes bounds the memory that one event of a stream takes.
const MaxStreamEventBytes = 256 << 10

// EndMarker is the data of a stream's last event.
const EndMarker = "[DONE]"

// Errors of streams and answers.
var (
	// ErrTruncated means that the stream ended without its end marker.
	ErrTruncated = errors.New("stream ended without its end marker")
	// ErrMismatch means that an answer belongs to another request.
	ErrMismatch = errors.New("answer carries another request ID")
	// ErrSequence means that an event is missing, repeated or not numbered.
	ErrSequence = errors.New("stream event out of sequence")
	// ErrMalformed means that an event is not valid JSON.
	ErrMalformed = errors.New("stream event is not valid")
)

// Usage is the token usage that an engine reports.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// StreamEvent is one event of a completion stream.
type StreamEvent struct {
	Seq   uint64
	Type  string // empty for ordinary events
	Data  string // JSON, or EndMarker when Done
	Done  bool
	Usage *Usage // set on the event that carries it
}

// StreamCheck is what the events of a stream must match.
type StreamCheck struct {
	RequestID string // empty: not checked
	After     uint64 // sequence number of the last event received before
}

// envelope is the part of an event or answer that the router reads.
type envelope struct {
	ID    string `json:"id"`
	Usage *Usage `json:"usage"`
}

// ReadStream parses a completion stream with bounded memory. It ends after the
// end marker. Otherwise it yields one error last: ErrTruncated, ErrMismatch,
// ErrSequence, ErrMalformed or the error of body; events before it are valid.
// It reads no further than the consumer has taken events, apart from a buffer.
func ReadStream(body io.Reader, check StreamCheck) iter.Seq2[StreamEvent, error] {
	return func(yield func(StreamEvent, error) bool) {
		config := &sse.ReadConfig{MaxEventSize: MaxStreamEventBytes}
		last := check.After
		for raw, err := range sse.Read(body, config) {
			if err != nil {
				yield(StreamEvent{}, errors.Mark(errors.Wrap(err, "stream broke off"), ErrTruncated))
				return
			}
			event, err := parseEvent(raw, last, check.RequestID)
			if err != nil {
				yield(StreamEvent{}, err)
				return
			}
			last = event.Seq
			if !yield(event, nil) || event.Done {
				return
			}
		}
		yield(StreamEvent{}, ErrTruncated)
	}
}

// parseEvent checks that raw is the event that follows last.
func parseEvent(raw sse.Event, last uint64, requestID string) (StreamEvent, error) {
	seq, err := strconv.ParseUint(raw.LastEventID, 10, 64)
	if err != nil || seq != last+1 {
		return StreamEvent{}, errors.Wrapf(ErrSequence, "event %.20q after %d", raw.LastEventID, last)
	}
	event := StreamEvent{Seq: seq, Type: raw.Type, Data: raw.Data}
	if raw.Data == EndMarker {
		event.Done = true
		return event, nil
	}
	var e envelope
	if err := json.Unmarshal([]byte(raw.Data), &e); err != nil {
		return StreamEvent{}, errors.Wrapf(ErrMalformed, "event %d: %v", seq, err)
	}
	if requestID != "" && e.ID != requestID {
		return StreamEvent{}, errors.Wrapf(ErrMismatch, "event %d", seq)
	}
	event.Usage = e.Usage
	return event, nil
}

// CheckHeader returns ErrMismatch unless the response echoes the request ID.
func CheckHeader(resp *http.Response, requestID string) error {
	if resp.Header.Get(HeaderRequestID) != requestID {
		return errors.Wrap(ErrMismatch, "response header")
	}
	return nil
}

// ParseAnswer checks a non-streamed answer and returns its usage, or nil when
// it has none. It returns ErrMalformed or ErrMismatch.
func ParseAnswer(data []byte, requestID string) (*Usage, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "answer: %v", err)
	}
	if requestID != "" && e.ID != requestID {
		return nil, errors.Wrap(ErrMismatch, "answer body")
	}
	return e.Usage, nil
}
