package dispatch

import (
	"strconv"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/call"
)

// maxPlacementParts bounds the parts of a prompt by which it is placed: each takes an entry
// in the index of what upstreams have cached, and in the messages that tell of it.
const maxPlacementParts = 64

// placementParts returns the parts of a prompt by which it is placed. Of too many, those
// between the first ones and the last one count as one part.
func placementParts(parts []call.PromptPart) []call.PromptPart {
	if len(parts) <= maxPlacementParts {
		return parts
	}
	const first = maxPlacementParts - 2
	last := len(parts) - 1
	out := append(make([]call.PromptPart, 0, maxPlacementParts), parts[:first]...)
	return append(out, mergeParts(parts[first:last]), parts[last])
}

// mergeParts returns a part that is the same for the same parts in the same order.
func mergeParts(parts []call.PromptPart) call.PromptPart {
	var hash uint64
	tokens := 0
	for _, part := range parts {
		hash = xxh3.HashStringSeed(part.ID, hash)
		tokens += part.Tokens
	}
	return call.PromptPart{ID: strconv.FormatUint(hash, 16), Tokens: tokens}
}
