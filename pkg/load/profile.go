// Package load generates open-loop traffic with nested shared prefixes and
// measures endpoint choice policies on identical arrivals.
package load

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
)

// BlockTokens is the length of a prompt block in both profiles.
const BlockTokens = 2000

// Customer is one traffic source of a profile.
type Customer struct {
	ID     string
	Share  float64 // of the profile's request rate
	Weight float64
}

// Profile describes the traffic and the fleet of one deployment.
type Profile struct {
	Name        string
	Pool        string
	KVPool      string
	OrderPool   string
	Model       string
	Domains     []string
	OneWayDelay time.Duration // between failure domains
	Priority    config.Priority
	Customers   []Customer
	Overloader  int     // index of the customer that sends OverFactor times its rate
	OverFactor  float64 // during the overload phase
	Rate        float64 // requests per second of all customers
	Instances   int     // router instances
	Engines     int

	ShortShare   float64 // short calls, at most one shared block
	SessionShare float64 // long calls that belong to a session
	SessionCalls int     // mean calls of a session
	SessionGap   time.Duration
	Levels       [4]int        // blocks per nesting level of long prompts
	Branches     [4]int        // children per nesting level
	ZipfS        float64       // skew of the documents
	Shift        time.Duration // between two shifts of the hot documents
}

// ProfileNames returns the names of the profiles.
func ProfileNames() []string { return []string{"ucab", "skovgaard"} }

// ProfileFor returns the profile with the name.
func ProfileFor(name string) (*Profile, error) {
	switch name {
	case "ucab":
		return ucab(), nil
	case "skovgaard":
		return skovgaard(), nil
	}
	return nil, errors.Newf("unknown profile %q, have %v", name, ProfileNames())
}

// ucab: many short counter calls; long calls are family histories that are
// used a few times within seconds and then not again.
func ucab() *Profile {
	return &Profile{
		Name:        "ucab",
		Pool:        "plume",
		KVPool:      "memoire",
		OrderPool:   "atelier",
		Model:       "plume",
		Domains:     []string{"rennes", "brest", "vannes", "quimper"},
		OneWayDelay: 500 * time.Microsecond,
		Priority:    config.TailLatency,
		Customers: []Customer{
			{"imprimerie-rennes", 0.32, 2}, {"imprimerie-brest", 0.28, 2}, {"imprimerie-vannes", 0.18, 1},
			{"imprimerie-quimper", 0.14, 1}, {"imprimerie-lorient", 0.08, 1},
		},
		Overloader:   2,
		OverFactor:   5,
		Rate:         50,
		Instances:    6,
		Engines:      12,
		ShortShare:   0.6,
		SessionShare: 0.7,
		SessionCalls: 8,
		SessionGap:   1200 * time.Millisecond,
		Levels:       [4]int{1, 2, 3, 2},
		Branches:     [4]int{1, 5, 6, 8},
		ZipfS:        1.1,
		Shift:        15 * time.Second,
	}
}

// skovgaard: long catalogue extracts with a skewed and shifting popularity.
func skovgaard() *Profile {
	return &Profile{
		Name:        "skovgaard",
		Pool:        "lm-desk",
		KVPool:      "prompt-keep",
		OrderPool:   "ordre-app",
		Model:       "lm-desk",
		Domains:     []string{"ribe", "aalborg", "hirtshals", "vejle"},
		OneWayDelay: 1500 * time.Microsecond,
		Priority:    config.CacheReuse,
		Customers: []Customer{
			{"museer", 0.34, 2}, {"forhandlere", 0.30, 2}, {"skoler", 0.16, 1},
			{"samlere", 0.12, 1}, {"vaerksted", 0.08, 1},
		},
		Overloader:   1,
		OverFactor:   5,
		Rate:         45,
		Instances:    6,
		Engines:      12,
		ShortShare:   0.45,
		SessionShare: 0.2,
		SessionCalls: 5,
		SessionGap:   1500 * time.Millisecond,
		Levels:       [4]int{1, 2, 3, 2},
		Branches:     [4]int{1, 4, 10, 6},
		ZipfS:        1.2,
		Shift:        12 * time.Second,
	}
}
