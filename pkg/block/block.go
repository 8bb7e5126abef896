// Package block computes the chained hashes that identify cached blocks of prompts.
// Engines publish the same hashes in their cache events.
package block

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Hash identifies a block together with all blocks before it and their Identity.
type Hash uint64

// Identity is what identifies a cached block besides the text up to its end. Two
// requests share blocks only if their identities are equal.
type Identity struct {
	CacheScope     string // cache scope of the customer, sent to the engine as cache salt
	Model          string
	Adapter        string
	WeightsVersion string
}

// Seed returns the hash that serves as the parent of the first block. Each field is
// hashed with its length, so that fields cannot run together.
func (id Identity) Seed() Hash {
	h := xxh3.New()
	for _, field := range []string{id.CacheScope, id.Model, id.Adapter, id.WeightsVersion} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(field)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(field)
	}
	return Hash(h.Sum64())
}

// NextHash returns the hash of the block with the given text that follows the block
// with the hash parent.
func NextHash(parent Hash, text []byte) Hash {
	return Hash(xxh3.HashSeed(text, uint64(parent)))
}

// AppendChain appends to dst the hashes of all whole blocks of blockBytes bytes in
// text. A trailing partial block gets no hash, because engines cache only whole
// blocks.
func AppendChain(dst []Hash, seed Hash, text []byte, blockBytes int) []Hash {
	parent := seed
	for len(text) >= blockBytes {
		parent = NextHash(parent, text[:blockBytes])
		dst = append(dst, parent)
		text = text[blockBytes:]
	}
	return dst
}
