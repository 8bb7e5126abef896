package edge

import (
	"math"
	"time"

	"github.com/fescuestep/fescuestep/pkg/fleet"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/placement"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// encodePositions encodes the positions up to which tables are known, without rows.
func encodePositions(held map[string]history.Position) []*rpc.Table {
	var out []*rpc.Table
	for name, at := range held {
		out = append(out, &rpc.Table{Name: name, Era: at.Era, Version: at.Version})
	}
	return out
}

// encodeTables encodes how much is known of tables, without rows.
func encodeTables(tables map[string]state.TableState, now time.Time) []*rpc.Table {
	var out []*rpc.Table
	for name, t := range tables {
		out = append(out, &rpc.Table{Name: name, Era: t.At.Era, Version: t.At.Version, ConfirmedAgoMs: encodeConfirmation(t.ConfirmedAt, now)})
	}
	return out
}

// positions returns the positions up to which tables are known.
func positions(tables map[string]state.TableState) map[string]history.Position {
	out := make(map[string]history.Position, len(tables))
	for name, t := range tables {
		out[name] = t.At
	}
	return out
}

func encodeConfirmation(at, now time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	age := ago(at, now)
	return &age
}

// decodeConfirmation returns when a table was last known to be current; zero: unknown.
func decodeConfirmation(t *rpc.Table, now time.Time) time.Time {
	if t.ConfirmedAgoMs == nil {
		return time.Time{}
	}
	return before(t.GetConfirmedAgoMs(), now)
}

// encodeContents encodes how new the contents of the operator's rows are.
func encodeContents(numbers map[string]uint64) []*rpc.Content {
	var out []*rpc.Content
	for key, number := range numbers {
		out = append(out, &rpc.Content{Key: key, Number: number})
	}
	return out
}

func encodeUpdate(u state.TableUpdate, now time.Time) *rpc.Table {
	out := &rpc.Table{Name: u.Name, Era: u.At.Era, Version: u.At.Version, Whole: u.Full, ConfirmedAgoMs: encodeConfirmation(u.ConfirmedAt, now)}
	for _, r := range u.Rows {
		out.Rows = append(out.Rows, encodeRow(r))
	}
	return out
}

// decodeUpdates decodes updates that the instance at an address sent, which was asked at a
// time with the positions held.
func decodeUpdates(tables []*rpc.Table, held map[string]history.Position, addr string, asked time.Time) []state.TableUpdate {
	var out []state.TableUpdate
	for _, t := range tables {
		u := state.TableUpdate{Name: t.Name, At: position(t), Full: t.Whole, From: held[t.Name], Source: addr, ConfirmedAt: decodeConfirmation(t, asked)}
		for _, r := range t.Rows {
			u.Rows = append(u.Rows, decodeRow(t.Name, r))
		}
		out = append(out, u)
	}
	return out
}

func encodeRow(r state.Row) *rpc.Row {
	return &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
}

func decodeRow(table string, r *rpc.Row) state.Row {
	return state.Row{Table: table, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
}

// addRetained adds what is known beyond the rows of the store to a response.
func addRetained(out *rpc.StateResponse, r state.Retained) {
	for _, row := range r.Operator {
		out.Retained = append(out.Retained, encodeRow(row))
	}
	for _, d := range r.Departures {
		out.Departures = append(out.Departures, encodeDeparture(d))
	}
}

func decodeRetained(resp *rpc.StateResponse, addr string) state.Retained {
	out := state.Retained{Source: addr}
	for _, r := range resp.Retained {
		out.Operator = append(out.Operator, decodeRow("", r))
	}
	out.Departures = decodeDepartures(resp.Departures)
	return out
}

func encodeDeparture(d fleet.Departure) *rpc.Departure {
	return &rpc.Departure{Upstream: d.ID, StartMs: d.StartTimeMS, Stated: d.Stated, Era: d.At.Era, Version: d.At.Version}
}

func decodeDepartures(list []*rpc.Departure) []fleet.Departure {
	var out []fleet.Departure
	for _, d := range list {
		out = append(out, fleet.Departure{
			ID: d.Upstream, StartTimeMS: d.StartMs, Stated: d.Stated, At: history.Position{Era: d.Era, Version: d.Version},
		})
	}
	return out
}

func encodeCrash(c quarantine.Crash, now time.Time) *rpc.Crash {
	return &rpc.Crash{
		Process: uint64(c.Process), Parts: encodeParts(c.Parts[:min(len(c.Parts), quarantine.MaxParts)]),
		AgoMs: ago(c.At, now),
	}
}

func decodeCrash(c *rpc.Crash, now time.Time) quarantine.Crash {
	return quarantine.Crash{
		Process: quarantine.Process(c.GetProcess()), Parts: decodeParts(c.GetParts()[:min(len(c.GetParts()), quarantine.MaxParts)]),
		At: before(c.GetAgoMs(), now),
	}
}

func encodeCrashPiece(piece quarantine.Piece, now time.Time) *rpc.CrashPiece {
	return &rpc.CrashPiece{Crash: encodeCrash(piece.Crash, now), Whole: piece.Whole, From: uint32(piece.From), Of: uint32(piece.Of)}
}

func decodeCrashPiece(piece *rpc.CrashPiece, now time.Time) quarantine.Piece {
	return quarantine.Piece{
		Crash: decodeCrash(piece.Crash, now), Whole: piece.Whole,
		From: int(min(piece.From, quarantine.MaxParts)), Of: int(min(piece.Of, quarantine.MaxParts+1)),
	}
}

// encodeUptime returns nil if the period is not known.
func encodeUptime(u fleet.Uptime, now time.Time) *rpc.Uptime {
	if u.IsZero() {
		return nil
	}
	return &rpc.Uptime{SinceAgoMs: ago(u.Since, now), UntilAgoMs: ago(u.Until, now)}
}

// decodeUptime returns the zero period for nil.
func decodeUptime(u *rpc.Uptime, now time.Time) fleet.Uptime {
	if u == nil {
		return fleet.Uptime{}
	}
	return fleet.Uptime{Since: before(u.SinceAgoMs, now), Until: before(u.UntilAgoMs, now)}
}

// ago returns how long ago a time was, in milliseconds. Messages state ages since the
// clocks of instances differ.
func ago(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

// before returns the time that was so many milliseconds ago.
func before(agoMS uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(agoMS) * time.Millisecond)
}

func encodeParts(parts []quarantine.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, part := range parts {
		out = append(out, uint64(part))
	}
	return out
}

func decodeParts(parts []uint64) []quarantine.Part {
	out := make([]quarantine.Part, 0, len(parts))
	for _, part := range parts {
		out = append(out, quarantine.Part(part))
	}
	return out
}

func encodeQuarantines(list []quarantine.Quarantine, now time.Time) []*rpc.Quarantine {
	var out []*rpc.Quarantine
	for _, q := range list {
		out = append(out, &rpc.Quarantine{Part: uint64(q.Part), Ms: uint32(q.Left.Milliseconds()), AgoMs: ago(q.Since, now)})
	}
	return out
}

func decodeQuarantines(list []*rpc.Quarantine, now time.Time) []quarantine.Quarantine {
	var out []quarantine.Quarantine
	for _, q := range list {
		out = append(out, quarantine.Quarantine{Part: quarantine.Part(q.Part), Since: before(q.AgoMs, now), Left: time.Duration(q.Ms) * time.Millisecond})
	}
	return out
}

// encodeBrittle encodes statements as refusals that hold nothing, which older builds
// ignore.
func encodeBrittle(list []placement.BrittleStatement, now time.Time) []*rpc.Load {
	var out []*rpc.Load
	for _, s := range list {
		out = append(out, &rpc.Load{Upstream: s.Upstream, Refused: true, Brittle: uint32(s.MaxRefusals), BrittleEnded: s.MaxRefusals == 0, AgoMs: ago(s.At, now)})
	}
	return out
}
