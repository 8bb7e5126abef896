// Package table stands in for the platform's transactional table service.
// Store can be used in process and under virtual time; Server serves it over
// Twirp.
package table

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
)

// Faults are switched at run time. Counts apply to that many calls; -1 means
// all. Durations are nanoseconds in JSON.
type Faults struct {
	Down        bool          `json:"down"`         // refuse every call, nothing is executed
	Latency     time.Duration `json:"latency"`      // before every call is executed
	AnswerDelay time.Duration `json:"answer_delay"` // after a commit is executed
	LoseAnswers int           `json:"lose_answers"` // execute commits and lose their answers
	LoseCommits int           `json:"lose_commits"` // lose commits before executing them; the caller sees the same as for LoseAnswers
}

// Options configure a Store.
type Options struct {
	Scale         host.Scale
	ReadsPerSec   float64 // 0: unlimited
	WritesPerSec  float64 // transactions per second, 0: unlimited
	AlwaysLatency time.Duration
}

// Counts are calls that were executed.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Commits uint64 `json:"commits"`
}

// Store is the table in memory. It implements external.Table.
type Store struct {
	Faults host.Faults[Faults]

	options Options
	reads   *rate.Limiter
	writes  *rate.Limiter

	mu      sync.Mutex
	rows    map[string]external.Row
	keys    []string // of rows, sorted
	version uint64
	counts  Counts
}

var _ external.Table = (*Store)(nil)

// NewStore returns an empty table.
func NewStore(o Options) *Store {
	return &Store{
		options: o,
		reads:   limiter(o.ReadsPerSec),
		writes:  limiter(o.WritesPerSec),
		rows:    map[string]external.Row{},
	}
}

// limiter allows a burst of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Counts returns the executed calls.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// before applies limits and faults that act before a call is executed.
func (s *Store) before(ctx context.Context, limit *rate.Limiter) error {
	faults := s.Faults.Get()
	if faults.Down {
		return errors.Wrap(external.ErrUnavailable, "table stand-in is down")
	}
	if err := limit.Wait(ctx); err != nil {
		return errors.Wrap(external.ErrUnavailable, err.Error())
	}
	delay := s.options.Scale.Of(s.options.AlwaysLatency + faults.Latency)
	if err := host.Sleep(ctx, delay); err != nil {
		return errors.Wrap(external.ErrUnavailable, err.Error())
	}
	return nil
}

// Get returns the rows with some keys.
func (s *Store) Get(ctx context.Context, keys ...string) ([]external.Row, error) {
	if err := s.before(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	out := make([]external.Row, 0, len(keys))
	for _, key := range keys {
		out = append(out, s.row(key))
	}
	return out, nil
}

// row returns a copy of the row or a row with version 0.
func (s *Store) row(key string) external.Row {
	row, ok := s.rows[key]
	if !ok {
		return external.Row{Key: key}
	}
	row.Value = slices.Clone(row.Value)
	return row
}

// Scan returns a page of the rows whose keys have a prefix.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]external.Row, error) {
	if err := s.before(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	start, _ := slices.BinarySearch(s.keys, max(prefix, after))
	var out []external.Row
	for _, key := range s.keys[start:] {
		if len(out) >= limit || (key > prefix && !strings.HasPrefix(key, prefix)) {
			break
		}
		if key > after && strings.HasPrefix(key, prefix) {
			out = append(out, s.row(key))
		}
	}
	return out, nil
}

// Commit applies a transaction if its conditions hold.
func (s *Store) Commit(ctx context.Context, txn external.Txn) (uint64, error) {
	if txn.Token == "" {
		return 0, errors.Wrap(external.ErrUnavailable, "a transaction needs a token")
	}
	if err := s.before(ctx, s.writes); err != nil {
		return 0, err
	}
	if s.Faults.Use(func(f *Faults) *int { return &f.LoseCommits }) {
		return 0, errors.Wrap(external.ErrOutcomeUnknown, "commit lost")
	}
	version, err := s.execute(txn)
	if err != nil {
		return 0, err
	}
	if err := host.Sleep(ctx, s.options.Scale.Of(s.Faults.Get().AnswerDelay)); err != nil {
		return 0, errors.Wrap(external.ErrOutcomeUnknown, err.Error())
	}
	if s.Faults.Use(func(f *Faults) *int { return &f.LoseAnswers }) {
		return 0, errors.Wrap(external.ErrOutcomeUnknown, "answer lost")
	}
	return version, nil
}

func (s *Store) execute(txn external.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if got := s.rows[c.Key].Version; got != c.Version {
			return 0, errors.Wrapf(external.ErrConflict, "row %q has version %d, not %d", c.Key, got, c.Version)
		}
	}
	s.version++
	s.counts.Commits++
	for _, w := range txn.Writes {
		s.write(w, txn.Token)
	}
	return s.version, nil
}

func (s *Store) write(w external.Write, token string) {
	at, found := slices.BinarySearch(s.keys, w.Key)
	switch {
	case w.Delete && found:
		s.keys = slices.Delete(s.keys, at, at+1)
		delete(s.rows, w.Key)
		return
	case w.Delete:
		return
	case !found:
		s.keys = slices.Insert(s.keys, at, w.Key)
	}
	s.rows[w.Key] = external.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: s.version, Token: token}
}
