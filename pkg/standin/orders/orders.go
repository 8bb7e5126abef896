// Package orders stands in for a plain order service: it runs every request
// that reaches it, keeps no idempotency records and can fail at any point.
package orders

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 8 << 20

// Faults are switched at run time. Counts apply to that many writing requests;
// -1 means all. Durations are nanoseconds in JSON.
type Faults struct {
	Delay        time.Duration `json:"delay"`         // before a request is executed
	AnswerDelay  time.Duration `json:"answer_delay"`  // after a request was executed
	RefuseBefore int           `json:"refuse_before"` // answer 503 without executing
	DropBefore   int           `json:"drop_before"`   // close the connection without executing
	FailAfter    int           `json:"fail_after"`    // execute, then answer 500
	DropAfter    int           `json:"drop_after"`    // execute, then close the connection
	AnswerBytes  int           `json:"answer_bytes"`  // padding of answers
}

// Options configure a Server.
type Options struct {
	ID         string
	Scale      host.Scale
	KeyHeaders []string // headers that name the order, default Idempotency-Key
	KeyFields  []string // JSON body fields that name the order, default order_id
	Ledger     *Ledger  // shared by servers of one service; nil: a new one
}

// Run is one executed request.
type Run struct {
	Server    string    `json:"server"`
	Number    int       `json:"number"` // of the run, from 1
	Key       string    `json:"key"`    // names the order; digest of the body when nothing else does
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	RequestID string    `json:"request_id"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
}

// Ledger records what the servers of one service ran.
type Ledger struct {
	mu    sync.Mutex
	runs  []Run
	byKey map[string]int
	leaks int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byKey: map[string]int{}} }

func (l *Ledger) add(run Run) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Number = len(l.runs) + 1
	l.runs = append(l.runs, run)
	l.byKey[run.Key]++
	return run
}

// Runs returns all executed requests in order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Count returns how often the order with the key ran.
func (l *Ledger) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key]
}

// Duplicates returns the number of runs beyond the first of each order.
func (l *Ledger) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs) - len(l.byKey)
}

// Leaks returns the number of requests that carried a caller's credentials.
func (l *Ledger) Leaks() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaks
}

func (l *Ledger) inspect(header http.Header) {
	if !host.HasCredentials(header) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaks++
}

// Server runs every request other than GET and HEAD as an order, whatever its
// path. GET answers with the runs whose path is the same or below.
type Server struct {
	*host.Server
	Faults host.Faults[Faults]
	Ledger *Ledger

	options     Options
	incarnation string
	running     atomic.Int64
	leaving     atomic.Bool
}

// Start serves on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	if len(o.KeyHeaders) == 0 {
		o.KeyHeaders = []string{"Idempotency-Key"}
	}
	if len(o.KeyFields) == 0 {
		o.KeyFields = []string{"order_id"}
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	s := &Server{options: o, Ledger: o.Ledger, incarnation: rand.Text()}
	e := host.NewEcho()
	s.Faults.Register(e, nil)
	e.GET("/standin/runs", s.handleRuns)
	e.GET("/load", s.handleLoad)
	e.GET("/*", s.handleRead, s.count)
	e.Any("/*", s.handleOrder, s.count)
	server, err := host.Serve(addr, e)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Summary is the answer of GET /standin/runs.
type Summary struct {
	Duplicates int   `json:"duplicates"`
	Leaks      int   `json:"leaks"`
	Runs       []Run `json:"runs"`
}

func (s *Server) handleRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, Summary{s.Ledger.Duplicates(), s.Ledger.Leaks(), s.Ledger.Runs()})
}

func (s *Server) handleRead(c echo.Context) error {
	s.Ledger.inspect(c.Request().Header)
	s.echoID(c)
	if err := host.Sleep(c.Request().Context(), s.options.Scale.Of(s.Faults.Get().Delay)); err != nil {
		return err
	}
	var runs []Run
	for _, run := range s.Ledger.Runs() {
		if host.PathHasPrefix(run.Path, c.Request().URL.Path) {
			runs = append(runs, run)
		}
	}
	return c.JSON(http.StatusOK, map[string]any{"orders": len(runs), "runs": runs})
}

func (s *Server) echoID(c echo.Context) {
	c.Response().Header().Set(engine.HeaderRequestID, c.Request().Header.Get(engine.HeaderRequestID))
}

func (s *Server) handleOrder(c echo.Context) error {
	req := c.Request()
	s.Ledger.inspect(req.Header)
	s.echoID(c)
	body, err := io.ReadAll(io.LimitReader(req.Body, MaxBodyBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if s.Faults.Use(func(f *Faults) *int { return &f.RefuseBefore }) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "order stand-in refuses")
	}
	if s.Faults.Use(func(f *Faults) *int { return &f.DropBefore }) {
		host.Drop()
	}
	// An order that was received runs even if its caller goes away meanwhile.
	if err := host.Sleep(host.Lifetime(req.Context()), s.options.Scale.Of(s.Faults.Get().Delay)); err != nil {
		host.Drop()
	}
	run := s.Ledger.add(Run{
		Server: s.options.ID, Key: s.orderKey(req.Header, body), Method: req.Method, Path: req.URL.Path,
		RequestID: req.Header.Get(engine.HeaderRequestID), Body: string(body), At: time.Now(),
	})
	return s.answer(c, run)
}

// answer reports an executed order.
func (s *Server) answer(c echo.Context, run Run) error {
	if err := host.Sleep(c.Request().Context(), s.options.Scale.Of(s.Faults.Get().AnswerDelay)); err != nil {
		host.Drop()
	}
	if s.Faults.Use(func(f *Faults) *int { return &f.DropAfter }) {
		host.Drop()
	}
	if s.Faults.Use(func(f *Faults) *int { return &f.FailAfter }) {
		return echo.NewHTTPError(http.StatusInternalServerError, "order stand-in fails after execution")
	}
	return c.JSON(http.StatusCreated, Answer{
		Number: run.Number, Key: run.Key, RequestID: run.RequestID,
		Padding: string(bytes.Repeat([]byte{'.'}, max(0, s.Faults.Get().AnswerBytes))),
	})
}

// Answer is the answer to an executed order.
type Answer struct {
	Number    int    `json:"number"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Padding   string `json:"padding,omitempty"`
}

// orderKey returns what names the order: a header, a body field or the digest
// of the body.
func (s *Server) orderKey(header http.Header, body []byte) string {
	for _, name := range s.options.KeyHeaders {
		if value := header.Get(name); value != "" {
			return value
		}
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil {
		for _, name := range s.options.KeyFields {
			if value, ok := fields[name].(string); ok && value != "" {
				return value
			}
		}
	}
	digest := sha256.Sum256(body)
	return "sha256:" + hex.EncodeToString(digest[:])
}
