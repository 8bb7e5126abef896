// Package idempotency deduplicates orders by idempotency key.
//
// An order is a call of a plain service that is not idempotent. Its idempotency
// key is taken from the header Idempotency-Key and from the header and the JSON
// body field that the route names; a call with no key or with two different ones
// is rejected. Orders claims the key, runs the rest of the chain at most once and
// records the response. The caller receives the response only after it was
// recorded.
//
// An order whose caller disconnects or whose API key is revoked before it is sent
// does not run. Once sent, it is completed and recorded within the application's
// timeout, even if the caller disconnects or the API key is revoked. A response
// with a status of 500 or above does not state whether the order took effect, so
// its outcome is unknown.
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

// HeaderKey is the header that carries the idempotency key on every route.
const HeaderKey = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 512

// Orders runs each order at most once.
type Orders interface {
	// Do claims the key of the order, calls send at most once and records the
	// outcome that it returns. It returns the recorded response or a *code.Error.
	Do(ctx context.Context, q order.Request, send func(context.Context) order.Outcome) (*chain.Response, error)
}

// Filter runs calls that are not idempotent through Orders.
type Filter struct {
	orders Orders
}

// New returns a filter that runs orders through orders.
func New(orders Orders) *Filter { return &Filter{orders: orders} }

// Name returns the name of the filter.
func (f *Filter) Name() string { return "idempotency" }

// Wrap returns a handler that calls next directly for idempotent calls, and at
// most once per idempotency key for all others.
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

// send runs the rest of the chain without writing the response to the caller. ctx
// must carry the deadline of Orders and must not be cancelled with the caller's
// request.
func send(ctx context.Context, r *chain.Request, next chain.Handler) order.Outcome {
	writer := r.Writer
	r.Writer = &discardWriter{header: http.Header{}}
	err := next(ctx, r)
	r.Writer = writer
	r.Outcome.ResponseStarted = false
	resp := r.Outcome.RecordedResponse
	if err == nil && resp != nil && resp.Status < http.StatusInternalServerError {
		return order.Outcome{Response: resp}
	}
	if err == nil && resp != nil {
		err = code.New(code.UpstreamFailed, "the upstream answered the order with status %d", resp.Status)
	}
	var e *code.Error
	if !errors.As(err, &e) {
		e = code.New(code.Internal, "the order ended without an answer").WithCause(err)
	}
	return order.Outcome{Err: e, NotSent: !r.Outcome.Sent}
}

// writeRecorded writes a recorded response to the caller.
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

// orderRequest returns the key, fingerprint and timeout of the order.
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
		// Different customers may use the same idempotency key.
		space = r.Customer.ID + "." + space
	}
	return order.Request{
		KeySpace:    space,
		Key:         key,
		Fingerprint: fingerprint(r),
		Timeout:     r.Deadline.Sub(r.ReceivedAt),
	}, nil
}

// Key returns the idempotency key of a call. Its error is a *code.Error:
// OrderKeyMissing without a key, BadRequest for a key that is too long or for two
// different keys. A call that carries its key in several places must carry the
// same one in each; otherwise a retry that carries only some of them would be
// taken for another order.
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

// keyCandidates returns all idempotency keys that a call carries.
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

// fieldValues returns the string and number values of a top-level field of the
// JSON body. All values of a repeated field are returned, because the upstream may
// use any of them.
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

// fingerprint returns a hash of what must be equal in two requests with the same
// idempotency key. The application is left out, because two applications may send
// the same orders to one key space.
func fingerprint(r *chain.Request) order.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.HTTP.Method, r.UpstreamPath, r.HTTP.URL.RawQuery} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	h.Write(r.Body)
	return order.Fingerprint(h.Sum(nil))
}

// discardWriter is an http.ResponseWriter that discards the response. The response
// is recorded first and then written to the caller from the record.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// SetWriteDeadline does nothing, since writes never block. The relay calls it.
func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }
