package table

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
	rpc "github.com/fescuestep/fescuestep/rpc/platform"
)

// Server serves a Store over Twirp, with GET /counts and /faults.
type Server struct {
	*host.Server
	Store *Store
}

// Start serves a new table on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	return StartStore(addr, NewStore(o))
}

// StartStore serves an existing table.
func StartStore(addr string, store *Store) (*Server, error) {
	e := host.NewEcho()
	store.Faults.Register(e, nil)
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, store.Counts()) })
	handler := rpc.NewTableServer(service{store})
	e.Any(handler.PathPrefix()+"*", echo.WrapHandler(losing(handler)))
	server, err := host.Serve(addr, e)
	if err != nil {
		return nil, err
	}
	return &Server{Server: server, Store: store}, nil
}

// lossKey is the context key of a request's *loss.
type lossKey struct{}

// loss says that the answer to a request is to be lost.
type loss struct{ set bool }

// mute drops what is written after the answer was declared lost.
type mute struct {
	http.ResponseWriter
	loss *loss
}

func (m mute) Write(p []byte) (int, error) {
	if m.loss.set {
		return len(p), nil
	}
	return m.ResponseWriter.Write(p)
}

func (m mute) WriteHeader(status int) {
	if !m.loss.set {
		m.ResponseWriter.WriteHeader(status)
	}
}

// losing closes the connection of a request whose answer is lost. The service
// itself cannot do so: Twirp answers a panic before it passes it on.
func losing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := &loss{}
		ctx := context.WithValue(r.Context(), lossKey{}, l)
		next.ServeHTTP(mute{w, l}, r.WithContext(ctx))
		if l.set {
			host.Drop()
		}
	})
}

// service adapts a Store to the Twirp service.
type service struct{ store *Store }

// Get returns the rows with some keys.
func (s service) Get(ctx context.Context, req *rpc.GetRequest) (*rpc.GetResponse, error) {
	rows, err := s.store.Get(ctx, req.Keys...)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.GetResponse{Rows: toRows(rows)}, nil
}

// Scan returns a page of the rows whose keys have a prefix.
func (s service) Scan(ctx context.Context, req *rpc.ScanRequest) (*rpc.ScanResponse, error) {
	rows, err := s.store.Scan(ctx, req.Prefix, req.After, int(req.Limit))
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.ScanResponse{Rows: toRows(rows)}, nil
}

// Commit applies a transaction if its conditions hold.
func (s service) Commit(ctx context.Context, req *rpc.CommitRequest) (*rpc.CommitResponse, error) {
	txn := external.Txn{Token: req.Token}
	for _, c := range req.Conditions {
		txn.Conditions = append(txn.Conditions, external.Condition{Key: c.GetKey(), Version: c.GetVersion()})
	}
	for _, w := range req.Writes {
		txn.Writes = append(txn.Writes, external.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete()})
	}
	version, err := s.store.Commit(ctx, txn)
	if l, ok := ctx.Value(lossKey{}).(*loss); ok && errors.Is(err, external.ErrOutcomeUnknown) {
		l.set = true
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.CommitResponse{Version: version}, nil
}

func toTwirp(err error) error {
	switch {
	case errors.Is(err, external.ErrConflict):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.Is(err, external.ErrUnavailable):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.InternalErrorWith(err)
}

func toRows(rows []external.Row) []*rpc.Row {
	out := make([]*rpc.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Token: r.Token})
	}
	return out
}
