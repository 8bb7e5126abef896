package state

import (
	"sort"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/routing"
)

// operatorRecord is a row of the operator's table with the number that orders its
// contents. What was adopted stays in force when the store comes back from an older
// copy, until the operator writes it again.
type operatorRecord struct {
	row    Row
	number uint64
}

// Retained is what an instance knows beyond the rows of the store: contents of the
// operator's rows that a copy of the store may lack, and upstreams that leave.
type Retained struct {
	Operator   []Row // newest contents, by key
	Departures []fleet.Departure
	Source     string // address of the instance that told it
}

// Retained returns what this instance knows beyond the rows of the store.
func (f *Follower) Retained() Retained {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Retained{Departures: f.upstreams.Departures()}
	for _, record := range f.operator {
		out.Operator = append(out.Operator, record.row)
	}
	sort.Slice(out.Operator, func(i, j int) bool { return out.Operator[i].Key < out.Operator[j].Key })
	return out
}

// MergeRetained adopts what another instance knows beyond the rows of the store.
func (f *Follower) MergeRetained(r Retained) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = r.Source
	operatorName, _ := f.decoder.Tables()
	for _, row := range r.Operator {
		row.Table = operatorName
		f.applyOperator(row, false)
	}
	f.leave(r.Departures...)
}

// OperatorNumbers returns, by key of the operator's rows, the number of the newest
// content that this instance knows.
func (f *Follower) OperatorNumbers() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64, len(f.operator))
	for key, record := range f.operator {
		out[key] = record.number
	}
	return out
}

// Leave records upstreams that leave or have left.
func (f *Follower) Leave(departures ...fleet.Departure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leave(departures...)
}

func (f *Follower) leave(departures ...fleet.Departure) {
	changed := false
	for _, d := range departures {
		changed = f.upstreams.Leave(d, f.now()) || changed
	}
	if changed {
		f.sink.UpstreamsChanged(f.upstreams.View())
	}
}

// applyUpstream applies a row of the table of upstreams. An upstream whose row
// cannot be decoded is removed as if its row were deleted.
func (f *Follower) applyUpstream(row Row, at history.Position) (changed bool) {
	before, _ := f.upstreams.Availability(row.Key)
	defer func() { f.logAvailability(row.Key, before, at) }()
	if row.Deleted {
		return f.upstreams.Remove(row.Key, at, f.now())
	}
	u, err := f.decoder.DecodeUpstream(row)
	if err != nil {
		f.logRejected(row, err)
		return f.upstreams.Remove(row.Key, at, f.now())
	}
	return f.upstreams.Put(u, at, f.now())
}

// logAvailability logs that the row at a position takes an upstream out of use, or back
// into use, with the source of the row and the age of the list before.
func (f *Follower) logAvailability(id string, before fleet.Availability, at history.Position) {
	availability, until := f.upstreams.Availability(id)
	fields := []any{"upstream", id, "version", at.Version, "era", at.Era, "source", f.source}
	_, upstreams := f.decoder.Tables()
	if age, ok := f.Age(upstreams); ok {
		fields = append(fields, "list_age_ms", age.Milliseconds())
	}
	switch availability {
	case fleet.Absent:
		f.log.Info("upstream removed", fields...)
	case fleet.Leaving:
		f.log.Info("upstream leaves", fields...)
	case fleet.RemovalDeferred:
		f.log.Info("removal of an upstream deferred", append(fields, "for", until.Sub(f.now()).String())...)
	case fleet.InUse:
		if before == fleet.Leaving {
			f.log.Warn("upstream that left is in use again", fields...)
		}
	}
}

// applyOperator applies a row of the operator's table unless its content is older
// than what was adopted, so that neither the configuration nor a version of weights
// reverts while the process runs. recent says that it was received as a change, so
// that it was written just now.
func (f *Follower) applyOperator(row Row, recent bool) {
	decoded, err := f.decoder.DecodeOperator(row)
	if err != nil {
		f.logRejected(row, err)
		return
	}
	if decoded.Release != nil {
		f.requestRelease(row, *decoded.Release, recent)
		return
	}
	number, ok := decoded.number()
	if known, adopted := f.operator[row.Key]; !ok || (adopted && number <= known.number) {
		return
	}
	f.operator[row.Key] = operatorRecord{row, number}
	if decoded.Config != nil {
		f.adoptConfig(decoded.Config)
		return
	}
	decoded.Weights.Recent, decoded.Weights.NotBefore = recent, f.knownUntil
	f.log.Info("weights target changed", "model", decoded.Weights.Model, "version", decoded.Weights.Version, "recent", recent)
	f.sink.WeightsTargetChanged(*decoded.Weights)
}

// requestRelease passes on the order of a rollout or its withdrawal. An order that a copy of
// the store lacks stays in force.
func (f *Follower) requestRelease(row Row, r ReleaseRequest, recent bool) {
	if row.lost {
		return
	}
	r.Recent = recent
	if r.Order != nil {
		f.log.Info("rollout ordered", "service", r.Service, "to", r.Order.To, "duration", r.Order.Duration.String(), "version", row.Version)
	} else {
		f.log.Info("rollout withdrawn", "service", r.Service, "version", row.Version)
	}
	f.sink.ReleaseRequested(r)
}

// number returns the number that orders the contents of a row. It returns false for
// a row that is not used.
func (r OperatorRow) number() (uint64, bool) {
	switch {
	case r.Config != nil:
		return r.Config.Version, true
	case r.Weights != nil:
		return uint64(max(r.Weights.Version, 0)), true
	}
	return 0, false
}

func (f *Follower) adoptConfig(s *routing.Snapshot) {
	if f.config != nil && s.Version <= f.config.Version {
		return // a row under another key
	}
	f.config = s
	f.log.Info("configuration adopted", "version", s.Version, "source", f.source)
	f.sink.ConfigChanged(s)
}

// logRejected logs a row that cannot be decoded, once per version.
func (f *Follower) logRejected(row Row, err error) {
	id := row.Table + "/" + row.Key
	if f.rejected[id] == row.Version {
		return
	}
	f.rejected[id] = row.Version
	f.log.Warn("row rejected", "table", row.Table, "key", row.Key, "version", row.Version, "error", err)
}
