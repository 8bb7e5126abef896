// Package weights stands in for the platform's rate-limited weight store.
package weights

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// Defaults of Options. One transfer alone takes LoadTime; more than
// FullSpeed concurrent ones share the rate of FullSpeed transfers.
const (
	DefaultSize     = 3 << 20
	DefaultLoadTime = 300 * time.Millisecond
	FullSpeed       = 2
	chunk           = 32 << 10
)

// Faults are switched at run time. Durations are nanoseconds in JSON.
type Faults struct {
	Down     bool          `json:"down"`
	Latency  time.Duration `json:"latency"`
	BreakOff int           `json:"break_off"` // transfers that end after half; -1 means all
}

// Options configure a Store. Zero values take the defaults.
type Options struct {
	Scale    host.Scale
	Size     int           // bytes per version
	LoadTime time.Duration // of one transfer at full speed, unscaled
	Versions []string      // stored versions; empty: every version exists
}

// Store sends weights at a limited rate. It implements external.WeightStore.
type Store struct {
	Faults host.Faults[Faults]

	options Options
	total   *rate.Limiter
	perLoad rate.Limit

	mu     sync.Mutex
	active int
	peak   int
	loads  int
}

var _ external.WeightStore = (*Store)(nil)

// NewStore returns a store.
func NewStore(o Options) *Store {
	if o.Size == 0 {
		o.Size = DefaultSize
	}
	if o.LoadTime == 0 {
		o.LoadTime = DefaultLoadTime
	}
	perLoad := rate.Limit(float64(o.Size) / o.Scale.Of(o.LoadTime).Seconds())
	return &Store{options: o, perLoad: perLoad, total: rate.NewLimiter(perLoad*FullSpeed, FullSpeed*chunk)}
}

// Loads returns the number of transfers so far and the highest number of
// concurrent ones.
func (s *Store) Loads() (total, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.peak
}

func (s *Store) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	s.active++
	s.peak = max(s.peak, s.active)
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// Versions returns the versions of weights that can be fetched.
func (s *Store) Versions(context.Context) ([]string, error) {
	if s.Faults.Get().Down {
		return nil, errors.Wrap(external.ErrUnavailable, "weight stand-in is down")
	}
	return slices.Clone(s.options.Versions), nil
}

// Fetch writes the weights of a version and returns their size in bytes.
func (s *Store) Fetch(ctx context.Context, version string, dst io.Writer) (int64, error) {
	if err := s.check(ctx, version); err != nil {
		return 0, err
	}
	s.begin()
	defer s.end()
	size := s.options.Size
	broken := s.Faults.Use(func(f *Faults) *int { return &f.BreakOff })
	if broken {
		size /= 2
	}
	n, err := s.copy(ctx, dst, size)
	if err == nil && broken {
		err = errors.Wrap(external.ErrUnavailable, "transfer broken off")
	}
	return n, err
}

func (s *Store) check(ctx context.Context, version string) error {
	faults := s.Faults.Get()
	if faults.Down {
		return errors.Wrap(external.ErrUnavailable, "weight stand-in is down")
	}
	if len(s.options.Versions) > 0 && !slices.Contains(s.options.Versions, version) {
		return errors.Wrapf(external.ErrNotFound, "weights version %q", version)
	}
	return host.Sleep(ctx, s.options.Scale.Of(faults.Latency))
}

// copy writes size bytes at the rate of one transfer within the total rate.
func (s *Store) copy(ctx context.Context, dst io.Writer, size int) (int64, error) {
	own := rate.NewLimiter(s.perLoad, chunk)
	data := make([]byte, chunk)
	written := int64(0)
	for left := size; left > 0; {
		n := min(left, chunk)
		if err := own.WaitN(ctx, n); err != nil {
			return written, err
		}
		if err := s.total.WaitN(ctx, n); err != nil {
			return written, err
		}
		m, err := dst.Write(data[:n])
		written += int64(m)
		if err != nil {
			return written, err
		}
		left -= n
	}
	return written, nil
}

// Server serves a Store: GET /weights, GET /weights/<version>, /faults.
type Server struct {
	*host.Server
	Store *Store
}

// Start serves a new store on addr; an empty addr means a free loopback port.
func Start(addr string, o Options) (*Server, error) {
	store := NewStore(o)
	e := host.NewEcho()
	store.Faults.Register(e, nil)
	e.GET("/weights", store.handleVersions)
	e.GET("/weights/:version", store.handleFetch)
	server, err := host.Serve(addr, e)
	if err != nil {
		return nil, err
	}
	return &Server{Server: server, Store: store}, nil
}

func (s *Store) handleVersions(c echo.Context) error {
	versions, err := s.Versions(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, versions)
}

func (s *Store) handleFetch(c echo.Context) error {
	ctx := c.Request().Context()
	version := c.Param("version")
	if err := s.check(ctx, version); errors.Is(err, external.ErrNotFound) {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	} else if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(s.options.Size))
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEOctetStream)
	if _, err := s.Fetch(ctx, version, c.Response()); err != nil {
		host.Drop()
	}
	return nil
}
