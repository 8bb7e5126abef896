package edge

import (
	"bytes"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/dissemination"
	"github.com/fescuestep/fescuestep/pkg/history"
	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// peersWithRows returns the peers of an instance that has a row of the operator with so many
// bytes, and a listed upstream.
func peersWithRows(size int) *peers {
	p := newTestPeers()
	p.copies = newCopies(1_250_000)
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(i * i >> 3)
	}
	p.follower.Merge([]state.TableUpdate{
		{Name: "op", At: history.Position{Version: 9}, Full: true, Rows: []state.Row{{Key: "config", Version: 9, Value: value}}},
		{Name: "servers", At: history.Position{Version: 8}, Full: true, Rows: []state.Row{{Key: "e1", Version: 8, Value: []byte("up")}}},
	})
	return p
}

// askFor calls State for one table.
func askFor(t *testing.T, p *peers, table, control string, compressed bool) *rpc.StateResponse {
	t.Helper()
	resp, err := p.State(t.Context(), &rpc.StateRequest{Only: []string{table}, Control: control, TakesZstd: compressed})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestListDoesNotWaitBehindTheConfiguration guards against departures that come late since a large configuration goes with them, or before them.
func TestListDoesNotWaitBehindTheConfiguration(t *testing.T) {
	p := peersWithRows(2 << 20)
	if resp := askFor(t, p, "op", "10.0.0.2:1", false); len(resp.Tables) != 1 || resp.Busy != nil {
		t.Fatalf("first copy of the configuration: %d tables, busy %v", len(resp.Tables), resp.Busy)
	}
	if resp := askFor(t, p, "op", "10.0.0.3:1", false); resp.Busy.GetRetryAfterMs() == 0 || len(resp.Tables) > 0 {
		t.Errorf("second copy at once: busy %v, %d tables", resp.Busy, len(resp.Tables))
	}
	resp := askFor(t, p, "servers", "10.0.0.3:1", false)
	if len(resp.Tables) != 1 || resp.Tables[0].Name != "servers" || len(resp.Tables[0].Rows) != 1 {
		t.Errorf("list beside it: %+v", resp)
	}
}

// TestRefusalNamesWhoHasACopy guards against instances that wait for a busy one while others could send them the change.
func TestRefusalNamesWhoHasACopy(t *testing.T) {
	p := peersWithRows(dissemination.SmallBytes + 1)
	for i := range dissemination.MaxCopies {
		if resp := askFor(t, p, "op", "10.0.0.2:1", false); resp.Busy != nil {
			t.Fatalf("copy %d is refused", i)
		}
	}
	if busy := askFor(t, p, "op", "10.0.0.9:1", false).Busy; busy == nil || len(busy.Holders) > 0 {
		t.Errorf("while the copies are on their way: %v", busy)
	}
	for i := range p.copies.holders {
		p.copies.holders[i].readyAt = p.now()
	}
	busy := askFor(t, p, "op", "10.0.0.9:1", false).Busy
	if len(busy.GetHolders()) != dissemination.MaxCopies || busyPosition(busy, "op").Version != 9 {
		t.Errorf("when they have arrived: %v", busy)
	}
}

// TestOlderBuildsGetPlainRows guards against rows that an instance of an older build cannot read.
func TestOlderBuildsGetPlainRows(t *testing.T) {
	p := peersWithRows(100_000)
	plain, compressed := askFor(t, p, "op", "", false).Tables[0].Rows[0], askFor(t, p, "op", "", true).Tables[0].Rows[0]
	if len(plain.Zstd) > 0 || len(plain.Value) != 100_000 || len(compressed.Value) > 0 {
		t.Errorf("plain: %d bytes, compressed: %d bytes beside %d plain ones", len(plain.Value), len(compressed.Zstd), len(compressed.Value))
	}
	unpacked := &rpc.StateResponse{Retained: []*rpc.Row{compressed}}
	if err := decompressRows(unpacked, 1<<20); err != nil || !bytes.Equal(compressed.Value, plain.Value) {
		t.Errorf("compressed row: error %v", err)
	}
}

// TestKnownContentsAreNotToldAgain guards against an instance that gets each large row of the operator twice at its start.
func TestKnownContentsAreNotToldAgain(t *testing.T) {
	row := state.Row{Table: "op", Key: "config", Version: 9}
	tables := []*rpc.Table{{Name: "op", Rows: []*rpc.Row{{Key: "config", Version: 9}}}}
	if !tellsRow(tables, row) || tellsRow(tables, state.Row{Table: "op", Key: "config", Version: 8}) {
		t.Error("rows of tables are not told apart by their version")
	}
	contents := []*rpc.Content{{Key: "config", Number: 4}}
	if !knowsContent(contents, "config", 4) || knowsContent(contents, "config", 5) || knowsContent(contents, "other", 1) {
		t.Error("contents are not told apart by their number")
	}
}
