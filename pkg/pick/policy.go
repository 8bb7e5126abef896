package pick

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Request is what a choice depends on.
type Request struct {
	Tokens       int // prompt tokens
	BlockTokens  int // tokens per block
	Blocks       []block.Hash
	Domain       string // failure domain of this instance
	Exclude      []string
	MaxQueueWait time.Duration // tighter bound of the engine queue, 0 for the pool's
	// Sharded says that Holders replaces the index of the store: it is what
	// the owner of the prompt's root knows, empty when it did not answer.
	Sharded bool
	Holders []Holder
}

// uncached returns the prompt tokens left when blocks blocks are cached.
func (r *Request) uncached(blocks float64) float64 {
	return max(float64(r.Tokens)-blocks*float64(r.BlockTokens), 1)
}

// Choice is the result of a policy.
type Choice struct {
	Upstream          *Upstream
	HitTokens         int           // prompt tokens expected to be cached
	UncachedTokens    int           // prompt tokens expected to be prefilled
	HeldBlocks        int           // leading blocks that the engine holds according to the index
	BlocksAfterImport int           // leading blocks it holds after an import from the KV store, 0 for no import
	EstimatedTTFT     time.Duration // time to first token
}

// Verdict says why a policy returned no choice.
type Verdict int

// Verdicts of a policy.
const (
	Chosen     Verdict = iota
	Busy               // no slot, or waiting for a busy upstream is faster
	NoUpstream         // no upstream can take the request
)

// Policy chooses an upstream. Policies keep state and are not safe for
// concurrent use. rng is the random source of this instance.
type Policy interface {
	Name() string
	Pick(now time.Time, r *Request, s *Store, rng *rand.Rand) (Choice, Verdict)
}

// Names of the policies.
const (
	NameFescuestep    = "fescuestep"
	NameRoundRobin    = "round_robin"
	NameLeastInFlight = "least_in_flight"
	NamePrefixHash    = "prefix_hash"
)

// PolicyNames returns the names of all policies, the product's first.
func PolicyNames() []string {
	return []string{NameFescuestep, NameRoundRobin, NameLeastInFlight, NamePrefixHash}
}

// NewPolicy returns a new policy. It returns an error for an unknown name.
func NewPolicy(name string, params Params) (Policy, error) {
	switch name {
	case NameFescuestep, "":
		return NewLeastTTFT(params), nil
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameLeastInFlight:
		return &LeastInFlight{}, nil
	case NamePrefixHash:
		return &PrefixHash{}, nil
	}
	return nil, errors.Newf("unknown policy %q, have %v", name, PolicyNames())
}

// Params sets up the estimate of one pool.
type Params struct {
	ScoreWeights ScoreWeights
	OneWayDelay  time.Duration // between failure domains
	ImportRate   float64       // tokens per second from the KV store, 0 without one
}

// ScoreWeights are the scorer weights of a deployment's priority.
type ScoreWeights struct {
	Queue      float64 // of the queue wait
	Prefill    float64 // of the prefill time
	NearMargin float64 // estimates within this share of the best count as equal
}

// ScoreWeightsFor returns the weights of a priority. Prefill counts more than
// waiting, because it also delays the requests behind and evicts blocks;
// cache_reuse replicates a prefix later still. Between 1.5 and 4 the measures
// hardly change, at 1 all are worse (docs/measurements.md).
func ScoreWeightsFor(p config.Priority) ScoreWeights {
	if p == config.CacheReuse {
		return ScoreWeights{Queue: 1, Prefill: 3, NearMargin: 0.05}
	}
	return ScoreWeights{Queue: 1, Prefill: 1.5, NearMargin: 0.05}
}
