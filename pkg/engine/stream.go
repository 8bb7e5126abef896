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

// MaxStreamEventBytes is the maximum size of one stream event. It bounds the
// memory that a stream takes.
const MaxStreamEventBytes = 256 << 10

// EndMarker is the data of the last event of a complete stream.
const EndMarker = "[DONE]"

// Errors in completion streams and non-streamed responses.
var (
	// ErrTruncated is returned for a stream that ended without its end marker
	// or could not be read.
	ErrTruncated = errors.New("stream ended without its end marker")
	// ErrRequestIDMismatch is returned for a response or event that carries a
	// request ID other than the expected one.
	ErrRequestIDMismatch = errors.New("response carries another request ID")
	// ErrSequence is returned when an event is missing, repeated or has no
	// sequence number.
	ErrSequence = errors.New("stream event out of sequence")
	// ErrMalformed is returned for an event or response that cannot be
	// decoded from JSON.
	ErrMalformed = errors.New("stream event or response cannot be decoded")
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
	Type  string // SSE event type; empty if the event has no event field
	Data  string // JSON, or EndMarker when Done
	Done  bool
	Usage *Usage // nil if the event carries no usage
}

// StreamCheck holds the values that ReadStream checks events against.
type StreamCheck struct {
	RequestID string // expected in every event; empty disables the check
	After     uint64 // sequence number of the last event received before a resume; 0 for a new stream
}

// responseEnvelope holds the fields that the router reads from a stream event or
// a non-streamed response.
type responseEnvelope struct {
	ID    string `json:"id"`
	Usage *Usage `json:"usage"`
}

// ReadStream parses a completion stream with bounded memory. It ends after the
// end marker. Otherwise it yields one error last: ErrTruncated (also for an
// error of body), ErrRequestIDMismatch, ErrSequence or ErrMalformed; events
// before it are valid. Apart from buffering, it reads no further than the events
// that the caller has consumed.
func ReadStream(body io.Reader, check StreamCheck) iter.Seq2[StreamEvent, error] {
	return func(yield func(StreamEvent, error) bool) {
		config := &sse.ReadConfig{MaxEventSize: MaxStreamEventBytes}
		last := check.After
		for raw, err := range sse.Read(body, config) {
			if err != nil {
				yield(StreamEvent{}, errors.Mark(errors.Wrap(err, "read completion stream"), ErrTruncated))
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

// parseEvent parses raw. It returns ErrSequence unless raw's sequence number is
// last+1, and checks the request ID unless requestID is empty.
func parseEvent(raw sse.Event, last uint64, requestID string) (StreamEvent, error) {
	seq, err := strconv.ParseUint(raw.LastEventID, 10, 64)
	if err != nil || seq != last+1 {
		return StreamEvent{}, errors.Wrapf(ErrSequence, "event ID %.20q follows event %d", raw.LastEventID, last)
	}
	event := StreamEvent{Seq: seq, Type: raw.Type, Data: raw.Data}
	if raw.Data == EndMarker {
		event.Done = true
		return event, nil
	}
	var e responseEnvelope
	if err := json.Unmarshal([]byte(raw.Data), &e); err != nil {
		return StreamEvent{}, errors.Wrapf(ErrMalformed, "event %d: %v", seq, err)
	}
	if requestID != "" && e.ID != requestID {
		return StreamEvent{}, errors.Wrapf(ErrRequestIDMismatch, "event %d", seq)
	}
	event.Usage = e.Usage
	return event, nil
}

// CheckRequestIDHeader returns ErrRequestIDMismatch unless the X-Request-Id
// header of the response equals requestID.
func CheckRequestIDHeader(resp *http.Response, requestID string) error {
	if resp.Header.Get(HeaderRequestID) != requestID {
		return errors.Wrap(ErrRequestIDMismatch, "response header")
	}
	return nil
}

// ParseResponse parses a non-streamed response and returns its usage, or nil if
// it has none. It returns ErrMalformed or ErrRequestIDMismatch.
func ParseResponse(data []byte, requestID string) (*Usage, error) {
	var e responseEnvelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "response body: %v", err)
	}
	if requestID != "" && e.ID != requestID {
		return nil, errors.Wrap(ErrRequestIDMismatch, "response body")
	}
	return e.Usage, nil
}
