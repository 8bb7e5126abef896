// Package capacity computes docs/CAPACITY.md from measured slopes, so that a
// wrong sum on the page fails a test.
package capacity

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
)

// Slopes are measured values, keyed by "package.Benchmark:unit".
type Slopes struct {
	Commit string             `json:"commit"`
	Values map[string]float64 `json:"values"`
}

// Parse reads slopes as written by internal/slopes.
func Parse(data []byte) (*Slopes, error) {
	s := new(Slopes)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "slopes are not valid")
	}
	return s, nil
}

// reader looks slopes up and remembers which were used and which are missing.
type reader struct {
	slopes  *Slopes
	used    map[string]bool
	missing []string
}

func newReader(s *Slopes) *reader { return &reader{slopes: s, used: map[string]bool{}} }

func (r *reader) get(key string) float64 {
	v, ok := r.slopes.Values[key]
	if !ok {
		r.missing = append(r.missing, key)
	}
	r.used[key] = true
	return v
}

func (r *reader) keys() []string {
	keys := make([]string, 0, len(r.used))
	for k := range r.used {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
