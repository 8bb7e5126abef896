package release

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Upstream is a listed upstream of the service that takes new requests.
type Upstream struct {
	ID       string
	Software string
	Slots    int
}

// Choice says which upstreams a request may be sent to.
type Choice struct {
	Software *string // version at which alone the request may run; nil: any
	New      bool    // that is the new version
	Refuse   bool    // no version may get the request now
	exclude  map[string]bool
}

// Excludes reports whether the request must not be sent to an upstream.
func (c *Choice) Excludes(id string) bool { return c.exclude[id] }

// plan is what follows from the listed upstreams.
type plan struct {
	news, olds         int
	newSlots, oldSlots int
	newIDs             map[string]bool // of all upstreams of the new version
	unselected         map[string]bool // those that get no share while the version is observed
	share              float64         // of the requests in an active window
	duty               float64         // share of the windows that are active
}

// newPlan selects the upstreams of the new version that its bounded share goes to: so few
// that each gets about the load of an old one, since some faults show under load only. With
// few old upstreams the share is smaller than the load of one; then it is sent in a part of
// the windows only.
func newPlan(o Order, upstreams []Upstream, average float64) plan {
	p := plan{newIDs: map[string]bool{}, unselected: map[string]bool{}}
	var ids []string
	for _, u := range upstreams {
		if u.Software == o.To {
			ids = append(ids, u.ID)
			p.newIDs[u.ID] = true
			p.newSlots += u.Slots
			continue
		}
		p.olds++
		p.oldSlots += u.Slots
	}
	p.news = len(ids)
	if p.news == 0 || p.olds == 0 {
		return p
	}
	seed := xxh3.HashString(o.Service + "\x00" + o.To)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashStringSeed(a, seed), xxh3.HashStringSeed(b, seed)), cmp.Compare(a, b))
	})
	selected := min(max(1, int(math.Round(average*float64(p.olds)))), p.news)
	for _, id := range ids[selected:] {
		p.unselected[id] = true
	}
	p.share = min(max(float64(selected)/float64(p.olds), average), 0.5)
	p.duty = min(1, average/p.share)
	return p
}

const (
	// windowsBeforeShift is the number of windows before the shift. With the average share
	// of 0.045, each prompt prefix goes to the new version in about one of them.
	windowsBeforeShift = 25
	// fewUpstreamsFactor makes windows longer if only a part of them is active: with a time
	// limit of 60 s, windows of 1.4 s were too short to find a slow version within one, and
	// its last request came 4.9 s after the 50th bad answer.
	fewUpstreamsFactor = 2
	minWindow          = 250 * time.Millisecond
	maxWindow          = 4 * time.Second
)

// keyExcess is by how much the keys that go to the new version exceed its share, since an
// instance may lack a whole token at the moment of a request.
const keyExcess = 1.5

// goldenRatio spaces the keys of successive windows evenly.
const goldenRatio = 0.6180339887498949

// takes reports whether requests with a key go to the new version while it is observed. The
// keys change from window to window, so that each prefix and route is observed, and a prefix
// stays at one version for the length of a window.
func (p *plan) takes(key uint64, elapsed time.Duration, o Order) bool {
	length := o.shiftAfter() / windowsBeforeShift
	if p.duty < 1 {
		length *= fewUpstreamsFactor
	}
	length = min(max(length, minWindow), maxWindow)
	window := float64(elapsed / length)
	active := math.Floor(window*p.duty + 0.5)
	if math.Floor((window+1)*p.duty+0.5) <= active {
		return false
	}
	_, x := math.Modf(unit(key) + active*goldenRatio)
	return x < keyExcess*p.share
}

// unit maps a hash to [0, 1).
func unit(key uint64) float64 { return float64(key>>11) / (1 << 53) }

// Key returns what decides to which version a request goes: requests of a customer with the
// same prefix have the same key.
func Key(customer string, prefix []string, requestID string) uint64 {
	h := xxh3.New()
	parts := append([]string{customer}, prefix...)
	if len(prefix) == 0 {
		parts = append(parts, requestID)
	}
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
