package edge

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/fescuestep/fescuestep/pkg/state"
)

// minPackedBytes is the size in bytes of the smallest value that is compressed.
const minPackedBytes = 4 << 10

var errPackedRow = errors.New("compressed row is not valid or too large")

// rowPacker compresses values of rows, each one once for all instances that fetch it. It is
// safe for concurrent use.
type rowPacker struct {
	mu      sync.Mutex
	encoder *zstd.Encoder        // nil: nothing was compressed yet
	packed  map[string]packedRow // by table and key
}

type packedRow struct {
	value []byte
	zstd  []byte
}

func newRowPacker() *rowPacker { return &rowPacker{packed: map[string]packedRow{}} }

// pack returns the compressed value of a row, or nil if it is too small to compress.
func (p *rowPacker) pack(r state.Row) ([]byte, error) {
	if len(r.Value) < minPackedBytes {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.Table + "/" + r.Key
	if known := p.packed[id]; sameSlice(known.value, r.Value) {
		return known.zstd, nil
	}
	if p.encoder == nil {
		encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
		if err != nil {
			return nil, errors.Wrap(err, "cannot compress rows")
		}
		p.encoder = encoder
	}
	compressed := p.encoder.EncodeAll(r.Value, nil)
	p.packed[id] = packedRow{r.Value, compressed}
	return compressed, nil
}

// sameSlice reports whether two slices share their bytes. Values of rows do not change.
func sameSlice(a, b []byte) bool { return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] }

// rowUnpacker decompresses values of the rows of one response.
type rowUnpacker struct {
	decoder   *zstd.Decoder // nil: nothing was decompressed yet
	remaining int64         // bytes that the values may still have
}

func newRowUnpacker(maxBytes int64) *rowUnpacker { return &rowUnpacker{remaining: maxBytes} }

// unpack returns a value. It fails with errPackedRow if it is not valid, or larger than what
// remains for the response.
func (u *rowUnpacker) unpack(compressed []byte) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(compressed); err != nil || !header.HasFCS || header.FrameContentSize > uint64(u.remaining) {
		return nil, errPackedRow
	}
	if u.decoder == nil {
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(u.remaining)))
		if err != nil {
			return nil, errors.Wrap(err, "cannot decompress rows")
		}
		u.decoder = decoder
	}
	value, err := u.decoder.DecodeAll(compressed, nil)
	u.remaining -= int64(len(value))
	if err != nil || u.remaining < 0 {
		return nil, errPackedRow
	}
	return value, nil
}

// close releases the memory of the decoder.
func (u *rowUnpacker) close() {
	if u.decoder != nil {
		u.decoder.Close()
	}
}
