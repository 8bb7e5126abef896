package block

import "testing"

// TestChainIdentity guards against equal hashes for blocks of different cache scopes,
// models, adapters or weights versions, also when the fields concatenate to the same
// text.
func TestChainIdentity(t *testing.T) {
	ids := []Identity{
		{"a", "m", "", "1"}, {"b", "m", "", "1"}, {"a", "n", "", "1"},
		{"a", "m", "x", "1"}, {"a", "m", "", "2"}, {"am", "", "", "1"},
	}
	seen := map[Hash]Identity{}
	for _, id := range ids {
		chain := AppendChain(nil, id.Seed(), []byte("01234567"), 4)
		if len(chain) != 2 {
			t.Fatalf("got %d blocks, want 2", len(chain))
		}
		for _, h := range chain {
			if other, ok := seen[h]; ok {
				t.Errorf("%+v and %+v share a block", id, other)
			}
			seen[h] = id
		}
	}
}
