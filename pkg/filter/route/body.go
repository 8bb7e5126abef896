package route

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/membudget"
)

// bodyCopies is the maximum number of copies of its body that a request holds:
// the body as received, the rendered prompt and the body for the upstream.
const bodyCopies = 3

// Bounds of the initial buffer in bytes. A body of known length up to
// maxFirstBuffer is read without copying. For a longer one memory is reserved only
// as bytes arrive, so that callers that announce long bodies and send nothing
// don't use up the budget.
const (
	minFirstBuffer = 16 << 10
	maxFirstBuffer = 256 << 10
)

// memoryBudget limits the memory in bytes that all request bodies of the instance
// take.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// Reserve reports whether n bytes were free and reserves them.
func (b *memoryBudget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release gives back n bytes.
func (b *memoryBudget) Release(n int64) { b.used.Add(-n) }

// memoryFor returns where the memory for the body of a request comes from: the guard of
// its connection or, without one, the budget of the filter.
func (f *Filter) memoryFor(r *chain.Request) membudget.Reserver {
	conn := callerguard.FromContext(r.HTTP.Context())
	if conn == nil {
		return &f.budget
	}
	if r.Customer != nil {
		conn.Identify(r.Customer.ID)
	}
	return conn
}

// readBody reads the body within the limits. held is the number of bytes of the
// budget that the caller must release, also after an error.
func (f *Filter) readBody(w http.ResponseWriter, req *http.Request, memory membudget.Reserver) (body []byte, held int64, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, 0, nil
	}
	if req.ContentLength > f.limits.MaxBody {
		return nil, 0, f.tooLarge(w)
	}
	// Without deadline support (tests with a recorder) the read has no timeout.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(f.limits.ReadTimeout))
	body, held, err = f.readChunks(w, req, memory)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return body, held, nil
	}
	// The connection cannot be reused: the rest of the body is still unread.
	w.Header().Set("Connection", "close")
	return nil, held, err
}

func (f *Filter) readChunks(w http.ResponseWriter, req *http.Request, memory membudget.Reserver) (body []byte, held int64, err error) {
	first := min(max(minFirstBuffer, req.ContentLength+1), maxFirstBuffer) // one extra byte, to read io.EOF without growing
	for {
		if len(body) == cap(body) {
			grow := max(first, int64(cap(body)))
			if !memory.Reserve(grow * bodyCopies) {
				return nil, held, errNoMemory()
			}
			held += grow * bodyCopies
			body = append(make([]byte, 0, int64(cap(body))+grow), body...)
		}
		n, err := req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > f.limits.MaxBody {
			return nil, held, f.tooLarge(w)
		}
		if errors.Is(err, io.EOF) {
			return body, held, nil
		}
		if err != nil {
			return nil, held, readError(err)
		}
	}
}

func (f *Filter) tooLarge(w http.ResponseWriter) error {
	w.Header().Set("Connection", "close")
	return code.New(code.BodyTooLarge, "the body exceeds %d bytes", f.limits.MaxBody)
}

func errNoMemory() error {
	return code.New(code.QueueFull, "the instance has no memory for another request body").WithRetryAfter(time.Second)
}

func readError(err error) error {
	if errors.Is(err, callerguard.ErrEvicted) {
		return errNoMemory()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.New(code.BodyReadTimeout, "the body was not received in time").WithCause(err)
	}
	return code.New(code.BodyReadTimeout, "the body ended early").WithCause(err)
}
