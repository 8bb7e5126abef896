package state

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/release"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

const (
	operatorTable = "op"
	upstreamTable = "servers"
)

// fakeStore is an in-memory store with a history of changes.
type fakeStore struct {
	mu        sync.Mutex
	rows      map[string]Row // by table and key
	history   []Row
	version   uint64
	era       uint64
	compacted uint64        // Feed after an earlier version returns ErrHistoryLost
	changed   chan struct{} // closed at the next change
	down      bool          // all calls fail
	calls     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]Row{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(table, key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := Row{Table: table, Key: key, Value: []byte(value), Version: s.version, Deleted: deleted}
	s.rows[table+"/"+key] = row
	s.history = append(s.history, row)
	s.notify()
}

// notify wakes up waiting calls to Feed. The caller holds mu.
func (s *fakeStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

var errDown = errors.New("down")

func (s *fakeStore) Rows(_ context.Context, table string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Page{}, errDown
	}
	out := Page{At: history.Position{Era: s.era, Version: s.version}}
	for _, row := range s.rows {
		if row.Table == table && !row.Deleted {
			out.Rows = append(out.Rows, row)
		}
	}
	return out, nil
}

func (s *fakeStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		out := Page{At: history.Position{Era: s.era, Version: s.version}}
		for _, row := range s.history {
			if row.Table == table && row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		changed, down, lost := s.changed, s.down, after < s.compacted || after > s.version
		s.mu.Unlock()
		switch {
		case down:
			return Page{}, errDown
		case lost:
			return Page{}, ErrHistoryLost
		case len(out.Rows) > 0:
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// fakeDecoder decodes the values "config N" and "weights MODEL N" of the operator and
// "up" of upstreams. All other values are invalid.
type fakeDecoder struct{}

func (fakeDecoder) Tables() (string, string) { return operatorTable, upstreamTable }

func (fakeDecoder) DecodeOperator(row Row) (OperatorRow, error) {
	fields := strings.Fields(string(row.Value))
	if service, ok := strings.CutPrefix(row.Key, "rollout/"); ok {
		r := ReleaseRequest{Service: service, Order: &release.Order{Service: service, To: string(row.Value)}}
		if row.Deleted {
			r.Order = nil
		}
		return OperatorRow{Release: &r}, nil
	}
	if row.Deleted {
		return OperatorRow{}, nil
	}
	if len(fields) == 2 && fields[0] == "config" {
		n, err := strconv.ParseUint(fields[1], 10, 64)
		return OperatorRow{Config: routing.New(routing.Config{Version: n})}, err
	}
	if len(fields) == 3 && fields[0] == "weights" {
		n, err := strconv.Atoi(fields[2])
		return OperatorRow{Weights: &WeightsTarget{Model: fields[1], Version: n}}, err
	}
	return OperatorRow{}, errors.New("not valid")
}

func (fakeDecoder) DecodeUpstream(row Row) (*fleet.Upstream, error) {
	if string(row.Value) != "up" {
		return nil, errors.New("not valid")
	}
	return &fleet.Upstream{ID: row.Key, Service: "s", Addr: "10.0.0.1:80"}, nil
}

type fakeSink struct {
	mu       sync.Mutex
	versions []uint64
	targets  []WeightsTarget
	view     *fleet.View
	eras     []uint64
	releases []ReleaseRequest
}

func (s *fakeSink) EraChanged(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eras = append(s.eras, era)
}

func (s *fakeSink) ConfigChanged(c *routing.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, c.Version)
}

func (s *fakeSink) WeightsTargetChanged(w WeightsTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, w)
}

func (s *fakeSink) UpstreamsChanged(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

func (s *fakeSink) ReleaseRequested(r ReleaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases = append(s.releases, r)
}

func (s *fakeSink) last() (config uint64, upstreams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) > 0 {
		config = s.versions[len(s.versions)-1]
	}
	if s.view != nil {
		upstreams = s.view.Len()
	}
	return config, upstreams
}

// testStore is a store that tests change.
type testStore interface {
	Store
	update(change func())
}

// runFollower runs a follower of the store in virtual time.
func runFollower(t *testing.T, store testStore, test func(f *Follower, sink *fakeSink)) {
	synctest.Test(t, func(t *testing.T) {
		store.update(func() {}) // the channel must be created inside the synctest bubble
		sink := &fakeSink{}
		f := New(store, fakeDecoder{}, sink, hclog.NewNullLogger(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		test(f, sink)
		cancel()
		<-done
	})
}

// checkSink compares the newest configuration version and the number of upstreams.
func checkSink(t *testing.T, sink *fakeSink, config uint64, upstreams int) {
	t.Helper()
	if c, u := sink.last(); c != config || u != upstreams {
		t.Errorf("configuration %d with %d upstreams, want %d with %d", c, u, config, upstreams)
	}
}
