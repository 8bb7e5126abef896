// Package block computes the chained hashes that identify cached prompt
// blocks. Engines publish the same hashes in their cache events.
package block

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Hash identifies a block together with everything before it.
type Hash uint64

// Identity is what a cached block belongs to besides its text. Two requests
// share blocks only if their identities are equal.
type Identity struct {
	CacheScope     string // cache scope of the customer, sent to the engine as cache salt
	Model          string
	Adapter        string
	WeightsVersion string // weights version
}

// Seed returns the hash that the first block of a chain is chained to.
func (id Identity) Seed() Hash {
	h := xxh3.New()
	for _, part := range []string{id.CacheScope, id.Model, id.Adapter, id.WeightsVersion} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(part)
	}
	return Hash(h.Sum64())
}

// NextHash returns the hash of text chained to parent.
func NextHash(parent Hash, text []byte) Hash {
	return Hash(xxh3.HashSeed(text, uint64(parent)))
}

// AppendChain appends to dst the hashes of all whole blocks of blockBytes bytes in
// text. A trailing partial block has no hash: engines cache whole blocks only.
func AppendChain(dst []Hash, seed Hash, text []byte, blockBytes int) []Hash {
	parent := seed
	for len(text) >= blockBytes {
		parent = NextHash(parent, text[:blockBytes])
		dst = append(dst, parent)
		text = text[blockBytes:]
	}
	return dst
}
