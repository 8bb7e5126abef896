package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/state"
	"github.com/fescuestep/fescuestep/pkg/streamversion"
)

// versionRows keeps, over a restart of all instances, which versions of a service's
// software may have begun a stream, and which other services may have: one row per service.
// An instance reads them at its start; one instance per service writes them.
type versionRows struct {
	rowLoop
	store   InstanceRegistry
	table   string
	streams *streams
	owns    func(hash uint64) bool // reports whether this instance writes the row with the hash
	log     hclog.Logger

	written map[string]streamversion.Served // by service
}

// versionRow is the content of a row.
type versionRow struct {
	Versions     []string `json:"versions"`
	Alternatives []string `json:"alternatives,omitempty"`
}

// versionCheckInterval is the time between checks whether a row must be written.
const versionCheckInterval = time.Second

func newVersionRows(store InstanceRegistry, table string, s *streams, log hclog.Logger) *versionRows {
	return &versionRows{rowLoop: newRowLoop(), store: store, table: table, streams: s, log: log, written: map[string]streamversion.Served{}}
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

// decode returns what rows tell, by service. Versions are nil for a row that cannot be
// decoded.
func (v *versionRows) decode(rows []state.Row) map[string]streamversion.Served {
	out := map[string]streamversion.Served{}
	for _, row := range rows {
		var content versionRow
		if err := json.Unmarshal(row.Value, &content); err != nil {
			v.log.Warn("cannot decode the served versions of a service", "service", row.Key, "error", err)
			content = versionRow{}
		}
		out[row.Key] = streamversion.Served(content)
	}
	return out
}

// write writes the rows of this instance that have changed.
func (v *versionRows) write(ctx context.Context) {
	for service, served := range v.streams.served() {
		known := v.written[service]
		changed := !slices.Equal(served.Versions, known.Versions) || !slices.Equal(served.Alternatives, known.Alternatives)
		if changed && v.owns(xxh3.HashString(service)) {
			v.writeRow(ctx, service, served)
		}
	}
}

func (v *versionRows) writeRow(ctx context.Context, service string, served streamversion.Served) {
	served.Versions = append([]string{}, served.Versions...) // none are written as an empty list, not as null
	value, err := json.Marshal(versionRow(served))
	if err != nil {
		v.log.Error("cannot encode the served versions of a service", "error", err)
		return
	}
	if err := v.store.PutRow(ctx, v.table, service, value); err != nil {
		v.log.Info("cannot write the served versions of a service", "service", service, "error", err)
		return
	}
	v.written[service] = served
	v.log.Info("versions of a service that may have begun a stream", "service", service, "versions", served.Versions, "alternatives", served.Alternatives)
}
