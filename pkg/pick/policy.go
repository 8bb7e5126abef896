package pick

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Request is a request for which a policy chooses an upstream.
type Request struct {
	Tokens       int // prompt tokens
	BlockTokens  int // tokens per block
	Blocks       []block.Hash
	Domain       string        // failure domain of this instance
	Exclude      []string      // IDs of upstreams that must not be chosen
	MaxQueueWait time.Duration // lowers Limits.MaxQueueWait for this request; 0 for no change
}

// uncached returns the prompt tokens to prefill if the given number of leading
// blocks is cached. It is at least 1.
func (r *Request) uncached(blocks float64) float64 {
	return max(float64(r.Tokens)-blocks*float64(r.BlockTokens), 1)
}

// Choice is the result of a policy.
type Choice struct {
	Upstream          *Upstream
	HitTokens         int           // prompt tokens expected to be cached
	UncachedTokens    int           // prompt tokens expected to be prefilled
	HeldBlocks        int           // leading blocks that the engine holds according to the index
	BlocksAfterImport int           // leading blocks that the engine holds after an import from the KV store, 0 for no import
	EstimatedTTFT     time.Duration // estimated time to first token
}

// Verdict is the result of a policy: a choice, or why there is none.
type Verdict int

// Results of Policy.Pick.
const (
	Chosen     Verdict = iota
	Busy               // no upstream has a free slot, or waiting for a busy one is faster
	NoUpstream         // no upstream can take the request
)

// Policy chooses an upstream of s for a request. rng is the source of its random
// decisions. Policies have state and are not safe for concurrent use.
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

// PolicyNames returns the names of all policies, the default first.
func PolicyNames() []string {
	return []string{NameFescuestep, NameRoundRobin, NameLeastInFlight, NamePrefixHash}
}

// NewPolicy returns a new policy of the given name, the default one for an empty
// name. It returns an error if the name is unknown.
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

// Params are the parameters of LeastTTFT for one pool.
type Params struct {
	ScoreWeights ScoreWeights
	OneWayDelay  time.Duration // network delay between failure domains
	ImportRate   float64       // tokens per second from the KV store, 0 without one
}

// ScoreWeights are the weights of the LeastTTFT score.
type ScoreWeights struct {
	Queue      float64 // weight of the queue wait
	Prefill    float64 // weight of the prefill time
	NearMargin float64 // scores within this fraction of the best count as equal
}

// ScoreWeightsFor returns the weights for a deployment's priority. Prefill time has a
// higher weight than queue wait, because a prefill also delays the requests behind it
// and evicts blocks. The weight for cache_reuse is higher still, so that a prefix is
// replicated later. Between 1.5 and 4 the measured results hardly change; at 1 all
// are worse (docs/measurements.md).
func ScoreWeightsFor(p config.Priority) ScoreWeights {
	if p == config.CacheReuse {
		return ScoreWeights{Queue: 1, Prefill: 3, NearMargin: 0.05}
	}
	return ScoreWeights{Queue: 1, Prefill: 1.5, NearMargin: 0.05}
}
