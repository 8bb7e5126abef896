// Package idempotency lets every order take effect exactly once.
//
// It applies to calls of plain services that are not idempotent. The order
// number is the header Idempotency-Key, the header or the JSON body field that
// the route names; without one, or with two different ones, the call is refused.
// The order service claims the number, runs the rest of the chain at most once
// and records the answer. The caller sees the answer only after it was recorded.
//
// An order whose caller leaves or whose key is revoked before it is sent does not
// run. Once sent, it is completed and recorded within the application's timeout
// whatever happens to caller and key. An answer with a status of 500 or
// above does not say whether the order took effect, so its outcome is unknown.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/order"
)

// HeaderKey always names the order number.
const HeaderKey = "Idempotency-Key"

// maxKeyBytes bounds an order number, in bytes.
const maxKeyBytes = 512

// Orders runs orders.
type Orders interface {
	// Do claims the order, calls send at most once and records what it returns.
	// It returns the recorded answer or a *code.Error.
	Do(ctx context.Context, q order.Request, send func(context.Context) order.Outcome) (*chain.Response, error)
}

// Filter runs orders through Orders.
type Filter struct {
	orders Orders
}

// New returns the filter.
func New(orders Orders) *Filter { return &Filter{orders: orders} }

// Name implements chain.Filter.
func (f *Filter) Name() string { return "idempotency" }

// Wrap implements chain.Filter.
func (f *Filter) Wrap(next chain.Handler) chain.Handler {
	return func(ctx context.Context, r *chain.Request) error {
		if r.Route == nil || r.Route.Idempotent {
			return next(ctx, r)
		}
		q, err := orderRequest(r)
		if err != nil {
			return err
		}
		resp, err := f.orders.Do(ctx, q, func(ctx context.Context) order.Outcome {
			return send(ctx, r, next)
		})
		if err != nil {
			return err
		}
		return writeRecorded(r, resp)
	}
}

// send runs the rest of the chain with the answer held back. The context has
// the deadline of Orders and none of the caller's cancellation.
func send(ctx context.Context, r *chain.Request, next chain.Handler) order.Outcome {
	writer := r.Writer
	r.Writer = &discardWriter{header: http.Header{}}
	err := next(ctx, r)
	r.Writer = writer
	r.Outcome.ResponseStarted = false
	answer := r.Outcome.RecordedResponse
	if err == nil && answer != nil && answer.Status < http.StatusInternalServerError {
		return order.Outcome{Response: answer}
	}
	if err == nil && answer != nil {
		err = code.New(code.UpstreamFailed, "the upstream answered the order with status %d", answer.Status)
	}
	var e *code.Error
	if !errors.As(err, &e) {
		e = code.New(code.Internal, "the order ended without an answer").WithCause(err)
	}
	return order.Outcome{Err: e, NotSent: !r.Outcome.Sent}
}

func writeRecorded(r *chain.Request, resp *chain.Response) error {
	h := r.Writer.Header()
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	r.Outcome.ResponseStarted = true
	r.Outcome.Complete = true
	r.Writer.WriteHeader(resp.Status)
	if _, err := r.Writer.Write(resp.Body); err != nil {
		return code.New(code.BodyReadTimeout, "the caller stopped reading").WithRun(code.Ran).WithCause(err)
	}
	return nil
}

func orderRequest(r *chain.Request) (order.Request, error) {
	key, err := Key(r.Route, r.HTTP.Header, r.Body)
	if err != nil {
		return order.Request{}, err
	}
	space := r.Route.OrderSpace
	if space == "" {
		space = r.Application.ID
	}
	if r.Customer != nil {
		// Two customers may use the same order number.
		space = r.Customer.ID + "." + space
	}
	return order.Request{
		KeySpace:    space,
		Key:         key,
		Fingerprint: fingerprint(r),
		Timeout:     r.Deadline.Sub(r.ReceivedAt),
	}, nil
}

// Key returns the order number of a call, or an OrderKeyMissing error. A call
// that names several must name the same one in every place: otherwise a repeat
// that carries only some of them would be another order.
func Key(route *config.Route, h http.Header, body []byte) (string, error) {
	key := ""
	for _, found := range keyCandidates(route, h, body) {
		if found != "" && key != "" && found != key {
			return "", code.New(code.BadRequest, "the call names two different idempotency keys")
		}
		if found != "" {
			key = found
		}
	}
	if key == "" {
		return "", code.New(code.OrderKeyMissing, "the call may not be repeated and needs an idempotency key")
	}
	if len(key) > maxKeyBytes {
		return "", code.New(code.BadRequest, "the idempotency key exceeds %d bytes", maxKeyBytes)
	}
	return key, nil
}

func keyCandidates(route *config.Route, h http.Header, body []byte) []string {
	list := append([]string(nil), h.Values(HeaderKey)...)
	if route.OrderHeader != "" {
		list = append(list, h.Values(route.OrderHeader)...)
	}
	if route.OrderField != "" {
		list = append(list, fieldValues(body, route.OrderField)...)
	}
	return list
}

// fieldValues returns the strings and numbers of the JSON body under the name. A name
// that stands twice counts twice: the upstream may take either.
func fieldValues(body []byte, name string) (list []string) {
	if !json.Valid(body) {
		return nil
	}
	gjson.ParseBytes(body).ForEach(func(key, value gjson.Result) bool {
		if key.String() == name && (value.Type == gjson.String || value.Type == gjson.Number) {
			list = append(list, value.String())
		}
		return true
	})
	return list
}

// fingerprint covers what makes two requests the same order. The application is
// left out: two applications may send the same orders to one key space.
func fingerprint(r *chain.Request) order.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.HTTP.Method, r.UpstreamPath, r.HTTP.URL.RawQuery} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	h.Write(r.Body)
	return order.Fingerprint(h.Sum(nil))
}

// discardWriter is the writer of an answer that is recorded before it is written.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// SetWriteDeadline is called by the relay; nothing blocks here.
func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }
