package load

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/fescuestep/fescuestep/pkg/block"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// blockBytes is the length of a block's text.
const blockBytes = BlockTokens * prompt.BytesPerToken

// text renders the prompt: one block of text per name of the path, then an end
// that no other prompt has.
func (a *Arrival) text(number int) string {
	var b strings.Builder
	b.Grow(a.Tokens * prompt.BytesPerToken)
	for _, name := range a.Path {
		fill(&b, name, blockBytes)
	}
	fill(&b, fmt.Sprintf("question %d", number), (a.Tokens-len(a.Path)*BlockTokens)*prompt.BytesPerToken)
	return b.String()
}

// fill writes size bytes that begin with name.
func fill(b *strings.Builder, name string, size int) {
	unit := name + " lorem ipsum dolor sit amet "
	for size > 0 {
		n := min(size, len(unit))
		b.WriteString(unit[:n])
		size -= n
	}
}

// wasteMeter estimates wasted recomputation from answers: prefilled blocks
// that some request of the same system had used before the prefill began and
// within the engines' block lifetime. It counts blocks that were evicted
// earlier for lack of space too.
type wasteMeter struct {
	mu     sync.Mutex
	last   map[block.Hash]time.Duration
	wasted int
}

func newWasteMeter() *wasteMeter { return &wasteMeter{last: map[block.Hash]time.Duration{}} }

// prefilled records the first token of a request at now.
func (m *wasteMeter) prefilled(now time.Duration, a *Arrival, cachedTokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	work := float64(a.Tokens-cachedTokens) / modelPrefillPerSec
	begin := now - time.Duration(work*float64(time.Second))
	for i, h := range a.Blocks {
		used, ok := m.last[h]
		if i >= cachedTokens/BlockTokens && ok && used <= begin && begin-used < modelLifetime {
			m.wasted += BlockTokens
		}
		m.last[h] = now
	}
}

func (m *wasteMeter) tokens() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wasted
}

// rateCheck compares the tokens used with each customer's rate and burst.
type rateCheck struct {
	mu        sync.Mutex
	customers []rateUse
}

type use struct {
	arrived, first time.Duration
	tokens         int
}

type rateUse struct {
	quota bucket
	uses  []use
}

func newRateCheck(quota []bucket) *rateCheck {
	c := &rateCheck{}
	for _, q := range quota {
		c.customers = append(c.customers, rateUse{quota: q})
	}
	return c
}

func (c *rateCheck) used(customer int, arrived, first time.Duration, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &c.customers[customer]
	u.uses = append(u.uses, use{arrived, first, tokens})
}

// overshoot returns the tokens above rate and burst over all customers.
func (c *rateCheck) overshoot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for i := range c.customers {
		total += c.customers[i].excess()
	}
	return total
}
