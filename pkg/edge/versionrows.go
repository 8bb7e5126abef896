package edge

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/pkg/state"
)

// versionRows keeps, over a restart of all instances, which versions of a service's
// software may have begun a stream: one row per service. An instance reads them at its
// start; one instance per service writes them.
type versionRows struct {
	rowLoop
	store   InstanceRegistry
	table   string
	streams *streams
	owns    func(hash uint64) bool // reports whether this instance writes the row with the hash
	config  func() *routing.Snapshot
	log     hclog.Logger

	written map[string][]string // by service
}

// versionRow is the content of a row.
type versionRow struct {
	Versions []string `json:"versions"`
}

// versionCheckInterval is the time between checks whether a row must be written.
const versionCheckInterval = time.Second

func newVersionRows(store InstanceRegistry, table string, s *streams, log hclog.Logger) *versionRows {
	return &versionRows{rowLoop: newRowLoop(), store: store, table: table, streams: s, log: log, written: map[string][]string{}}
}

// run reads the rows once and then writes changes until ctx ends.
func (v *versionRows) run(ctx context.Context) {
	v.read(ctx)
	v.keep(ctx, versionCheckInterval, v.write, func() { clear(v.written) })
}

func (v *versionRows) read(ctx context.Context) {
	if rows, ok := readRows(ctx, v.store, v.table); ok {
		v.adopt(rows)
	}
}

// adopt takes over rows.
func (v *versionRows) adopt(rows []state.Row) {
	v.written = v.decode(rows)
	v.streams.adoptServed(v.written)
}

// decode returns the versions that rows name, by service; nil for a row that cannot be
// decoded.
func (v *versionRows) decode(rows []state.Row) map[string][]string {
	out := map[string][]string{}
	for _, row := range rows {
		var content versionRow
		if err := json.Unmarshal(row.Value, &content); err != nil {
			v.log.Warn("cannot decode the served versions of a service", "service", row.Key, "error", err)
			content.Versions = nil
		}
		out[row.Key] = content.Versions
	}
	return out
}

// write writes the rows of this instance that have changed.
func (v *versionRows) write(ctx context.Context) {
	for _, service := range streamServices(v.config()) {
		versions := v.streams.versions(service)
		if len(versions) == 0 || slices.Equal(versions, v.written[service]) || !v.owns(xxh3.HashString(service)) {
			continue
		}
		value, err := json.Marshal(versionRow{versions})
		if err != nil {
			v.log.Error("cannot encode the served versions of a service", "error", err)
			continue
		}
		if err := v.store.PutRow(ctx, v.table, service, value); err != nil {
			v.log.Info("cannot write the served versions of a service", "service", service, "error", err)
			continue
		}
		v.written[service] = versions
		v.log.Info("versions of a service that may have begun a stream", "service", service, "versions", versions)
	}
}

// streamServices returns the services with streams that may be resumed, in order.
func streamServices(s *routing.Snapshot) []string {
	services := map[string]bool{}
	if s == nil {
		return nil
	}
	for _, route := range s.Routes() {
		if !route.MayResume() {
			continue
		}
		for _, part := range route.Split {
			services[part.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}
