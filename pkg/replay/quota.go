package replay

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/quota"
)

// QuotaEntry is an input of one share holder, or a stated result of it. All
// times are on the holder's clock.
type QuotaEntry struct {
	At       time.Duration    `json:"at"`   // ns
	Kind     string           `json:"kind"` // start, snapshot, accepted, spend, unspend, lend or return
	Instance string           `json:"instance"`
	Revision uint64           `json:"revision,omitempty"`
	Customer string           `json:"customer,omitempty"`
	Rate     float64          `json:"rate,omitempty"`  // of a snapshot, tokens per second
	Burst    float64          `json:"burst,omitempty"` // of a snapshot, tokens
	Members  []string         `json:"members,omitempty"`
	Gap      bool             `json:"gap,omitempty"` // revisions before the snapshot were not seen
	Tokens   int              `json:"tokens,omitempty"`
	Granted  int              `json:"granted,omitempty"` // stated by spend and lend
	Since    time.Duration    `json:"since,omitempty"`   // of unspend, ns
	Sender   string           `json:"sender,omitempty"`
	Sequence uint64           `json:"sequence,omitempty"`
	Settle   []RecordedSettle `json:"settle,omitempty"`
}

// RecordedSettle is a quota.Settlement.
type RecordedSettle struct {
	Number    uint64        `json:"number"`
	GrantedAt time.Duration `json:"granted_at"`
	Unused    int           `json:"unused,omitempty"`
	Spent     int           `json:"spent,omitempty"`
	Since     time.Duration `json:"since,omitempty"`
}

type quotaPlayer struct{ holders map[string]*quota.Holder }

func newQuotaPlayer() *quotaPlayer { return &quotaPlayer{map[string]*quota.Holder{}} }

// incarnation is that of every instance in a trace; a restart is a start.
const incarnation = "1"

func (q *quotaPlayer) play(p *player, e *QuotaEntry) error {
	if e.Kind == "start" {
		p.input()
		q.holders[e.Instance] = quota.NewHolder(e.Instance, incarnation, quota.LeaseDuration)
		return nil
	}
	h := q.holders[e.Instance]
	if h == nil {
		return errors.Newf("instance %q was not started", e.Instance)
	}
	p.input()
	switch e.Kind {
	case "snapshot":
		h.OnSnapshot(e.At, e.snapshot(), !e.Gap)
	case "accepted":
		h.OnAccepted(e.At, e.Revision)
	case "spend":
		compare(p, e.what(), e.Granted, h.Charge(e.At, e.Customer, e.Tokens))
	case "lend":
		compare(p, e.what(), e.Granted, h.IssueGrant(e.At, e.Customer, e.Tokens).Tokens)
	case "unspend":
		h.Refund(e.At, e.Customer, e.Tokens, e.Since)
	case "return":
		h.HandleSettlements(e.At, e.Sender, incarnation, e.Sequence, e.settlements())
	default:
		return errors.Newf("unknown kind %q", e.Kind)
	}
	return nil
}

func (e *QuotaEntry) what() string {
	return fmt.Sprintf("instance %s, %s %d tokens of %s", e.Instance, e.Kind, e.Tokens, e.Customer)
}

func (e *QuotaEntry) snapshot() *config.Snapshot {
	d := &config.Deployment{Name: "trace"}
	if e.Customer != "" {
		d.Customers = []config.Customer{{ID: e.Customer, RatePerSecond: e.Rate, Burst: e.Burst}}
	}
	var members config.Membership
	for _, id := range e.Members {
		members.Members = append(members.Members, config.Member{ID: id, Incarnation: incarnation})
	}
	return config.Restore(e.Revision, []*config.Deployment{d}, nil, members)
}

func (e *QuotaEntry) settlements() []quota.Settlement {
	out := make([]quota.Settlement, 0, len(e.Settle))
	for _, s := range e.Settle {
		out = append(out, quota.Settlement{
			Customer: e.Customer, GrantNumber: s.Number, GrantedAt: s.GrantedAt, Unused: s.Unused, Spent: s.Spent, SpentSince: s.Since,
		})
	}
	return out
}
