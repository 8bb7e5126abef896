package edge

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/fescuestep/fescuestep/pkg/state"
	rpc "github.com/fescuestep/fescuestep/rpc/edge"
)

// TestPackedRowsAreRestored guards against a value that changes on its way, and against one that is compressed for each instance anew.
func TestPackedRowsAreRestored(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	packer := newRowPacker()
	for _, size := range []int{minPackedBytes, 100_000, 1 << 20} {
		value := make([]byte, size)
		for i := range value {
			value[i] = byte(random.IntN(4))
		}
		row := state.Row{Table: "op", Key: "config", Value: value}
		packed, err := packer.pack(row)
		again, _ := packer.pack(row)
		if err != nil || len(packed) == 0 || len(packed) > size/2 || !sameSlice(packed, again) {
			t.Fatalf("%d bytes: compressed to %d, error %v", size, len(packed), err)
		}
		resp := &rpc.StateResponse{Tables: []*rpc.Table{{Rows: []*rpc.Row{{Zstd: packed}}}}}
		if err := decompressRows(resp, int64(size)); err != nil || !bytes.Equal(resp.Tables[0].Rows[0].Value, value) {
			t.Errorf("%d bytes: error %v", size, err)
		}
	}
	if packed, err := packer.pack(state.Row{Value: make([]byte, minPackedBytes-1)}); packed != nil || err != nil {
		t.Error("a small value is compressed")
	}
}

// TestSmallResponseWithVastRowsIsRejected guards against a response within its limit that fills the memory when its rows are decompressed.
func TestSmallResponseWithVastRowsIsRejected(t *testing.T) {
	const limit = 1 << 20
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	half := encoder.EncodeAll(make([]byte, limit/2+1), nil)
	vast := encoder.EncodeAll(make([]byte, 64<<20), nil)
	for name, rows := range map[string][]*rpc.Row{
		"one":        {{Zstd: vast}},
		"together":   {{Zstd: half}, {Zstd: half}},
		"no frame":   {{Zstd: []byte("bytes that are none")}},
		"broken off": {{Zstd: half[:len(half)/2]}},
	} {
		resp := &rpc.StateResponse{Retained: rows}
		if err := decompressRows(resp, limit); !errors.Is(err, errPackedRow) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
