package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/membudget"
	"github.com/fescuestep/fescuestep/pkg/placement"
)

const (
	// maxEventBytes limits the size of one event of a stream. Events of more than
	// freeEventBytes count against the memory for responses.
	maxEventBytes  = 256 << 10
	freeEventBytes = 16 << 10
	// writeGrace is how long after the deadline writes to the caller may still
	// take.
	writeGrace = 500 * time.Millisecond
	// eventBufferBytes is the size of the read buffer, which holds most events.
	eventBufferBytes = 1 << 10
)

var (
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errNoEvent        = errors.New("the stream ended with its connection before an event")
)

func itoa(n int) string { return strconv.Itoa(n) }

// relayStream relays events one by one. The status line is sent with the first
// event; until then the request can be retried on another upstream. onFirst is called
// before that; if it fails, nothing is relayed.
func (x *exchange) relayStream(resp *http.Response, onFirst func() error) (placement.Result, error) {
	reader := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	first := true
	event := eventBuffer{budget: x.h.buffers}
	defer event.release()
	for {
		event.Reset()
		id, err := readEvent(reader, &event)
		if err == io.EOF {
			break
		}
		if err != nil {
			return placement.Failed, err
		}
		if first {
			if err := onFirst(); err != nil {
				return placement.Failed, err
			}
			first = false
			x.startStream(resp)
		}
		x.recordEvent()
		if x.alreadyRelayed(id) {
			continue
		}
		if err := x.writeEvent(event.Bytes()); err != nil {
			return placement.Cancelled, errors.Mark(err, errCallerWrite)
		}
		if id != "" {
			x.lastEventID = id
		}
	}
	if first && !isFramed(resp) {
		return placement.Failed, errNoEvent
	}
	if first {
		_ = onFirst() // the stream is complete, even if its connection was closed meanwhile
		x.startStream(resp)
	}
	x.recordStreamEnd(resp)
	x.r.Outcome.Complete = true
	return placement.OK, nil
}

// recordFirstEvent records that an attempt has brought its first event.
func (x *exchange) recordFirstEvent(attempt *placement.Attempt) {
	x.h.Placer.FirstToken(attempt, attempt.SaveTo != "")
	x.recordOrigin(attempt)
}

// startStream writes the status line and headers, unless an earlier attempt wrote them.
func (x *exchange) startStream(resp *http.Response) {
	if x.r.Outcome.ResponseStarted {
		return // a resumed stream keeps the headers of its first upstream
	}
	x.r.Outcome.TimeToFirstToken = x.h.Now().Sub(x.r.ReceivedAt)
	w := x.r.Writer
	x.h.Dialect.EncodeResponse(w.Header(), resp.Header)
	// The error is ignored: only the writers of tests lack deadline support.
	_ = http.NewResponseController(w).SetWriteDeadline(x.r.Deadline.Add(writeGrace))
	w.WriteHeader(resp.StatusCode)
	x.r.Outcome.ResponseStarted = true
}

// alreadyRelayed reports whether a resumed stream repeats an event that the
// caller has received.
func (x *exchange) alreadyRelayed(id string) bool {
	if x.edge.Attempts < 2 || id == "" || x.lastEventID == "" {
		return false
	}
	got, errGot := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
	return errGot == nil && errLast == nil && got <= last
}

func (x *exchange) writeEvent(event []byte) error {
	if _, err := x.r.Writer.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(x.r.Writer).Flush()
}

// eventBuffer holds an event of a stream. A large one counts against a budget.
type eventBuffer struct {
	bytes.Buffer
	budget   membudget.Reserver
	reserved int64
}

// add appends a line. It fails with errResponseTooLarge, or with membudget.ErrExhausted.
func (e *eventBuffer) add(line []byte) error {
	size := e.Len() + len(line)
	if size > maxEventBytes {
		return errResponseTooLarge
	}
	if size > freeEventBytes && int64(2*size) > e.reserved {
		more := int64(4*size) - e.reserved // the buffer doubles when it is full
		if !e.budget.Reserve(more) {
			return membudget.ErrExhausted
		}
		e.reserved += more
	}
	e.Write(line)
	return nil
}

// release gives the reserved bytes back.
func (e *eventBuffer) release() { e.budget.Release(e.reserved) }

// readEvent reads one event with its final empty line and returns its ID, which
// may be empty. It returns io.EOF if the stream ends between events and
// errTruncatedEvent if it ends inside one.
func readEvent(r *bufio.Reader, event *eventBuffer) (id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		if err := event.add(line); err != nil {
			return "", err
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && event.Len() == 0:
			return "", io.EOF
		case err == io.EOF:
			return "", errTruncatedEvent
		case err != nil:
			return "", err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			return id, nil
		}
		if value, ok := strings.CutPrefix(text, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
}
