package replay

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/fresh"
)

// FreshEntry is an input of one instance's freshness, or a stated result of
// it. All times are on the instance's clock.
type FreshEntry struct {
	At       time.Duration `json:"at"`   // ns
	Kind     string        `json:"kind"` // start, hold, head, relayed, majority or check
	Instance string        `json:"instance"`
	Sent     time.Duration `json:"sent,omitempty"` // when the question was sent, ns
	Age      time.Duration `json:"age,omitempty"`  // of relayed evidence, ns
	Revision uint64        `json:"revision,omitempty"`
	Member   bool          `json:"member,omitempty"`
	Fresh    bool          `json:"fresh,omitempty"` // stated by check
}

type freshPlayer struct{ trackers map[string]*fresh.Tracker }

func newFreshPlayer() *freshPlayer { return &freshPlayer{map[string]*fresh.Tracker{}} }

func (f *freshPlayer) play(p *player, e *FreshEntry) error {
	if e.Kind == "start" {
		p.input()
		f.trackers[e.Instance] = fresh.NewTracker(fresh.DefaultParams())
		return nil
	}
	t := f.trackers[e.Instance]
	if t == nil {
		return errors.Newf("instance %q was not started", e.Instance)
	}
	if e.Kind == "check" {
		compare(p, fmt.Sprintf("instance %s, revision", e.Instance), e.Revision, t.Revision())
		compare(p, fmt.Sprintf("instance %s, fresh", e.Instance), e.Fresh, t.Fresh(e.At))
		return nil
	}
	p.input()
	switch e.Kind {
	case "hold":
		t.SetRevision(e.Revision, e.Member)
	case "head":
		t.RecordHead(e.Sent, e.Revision)
	case "relayed":
		t.RecordRelayed(e.Sent, e.Age, e.Revision)
	case "majority":
		t.RecordMajority(e.Sent, e.Revision)
	default:
		return errors.Newf("unknown kind %q", e.Kind)
	}
	return nil
}
