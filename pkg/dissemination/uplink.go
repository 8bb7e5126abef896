package dissemination

import (
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

const (
	// MaxCopies is the number of large copies of one change that an instance sends. Those who
	// ask for more are told to ask the instances that have got one.
	MaxCopies = 3
	// reofferDelay is how long after the last copy was sent an instance sends one more: those
	// that have got one may have stopped.
	reofferDelay = 500 * time.Millisecond
	// SmallBytes is the size in bytes up to which a copy is always sent: a few changed rows
	// cost less than asking twice.
	SmallBytes = 16 << 10
	// uplinkShare is the share of an instance's link that copies may use; the rest is for
	// requests, answers and digests.
	uplinkShare = 0.5
	// maxBacklog is how long an admitted copy may wait for those admitted before it. With
	// more, each of them would take longer without any arriving sooner.
	maxBacklog = 250 * time.Millisecond
	// DefaultLinkBytesPerSecond is assumed for an instance whose link is not known: 1 Gbit/s.
	DefaultLinkBytesPerSecond = 125_000_000
)

// Copy is a copy of changes in a table.
type Copy struct {
	Table string
	At    history.Position // up to which it is complete
	Bytes int
}

// Uplink bounds the copies that an instance sends, in number for each change and in bytes
// per second. A copy of any size is admitted when no other one waits.
type Uplink struct {
	bytesPerSecond float64
	busyUntil      time.Time         // when the admitted copies will have been sent
	sent           map[string]change // by table
}

// change is the newest change of a table that large copies were sent of.
type change struct {
	at     history.Position
	copies int
	sentAt time.Time // when the last copy will have been sent
}

// NewUplink returns the bound for a link with a rate in bytes per second; 0 or less: unknown.
func NewUplink(linkBytesPerSecond float64) *Uplink {
	if linkBytesPerSecond <= 0 {
		linkBytesPerSecond = DefaultLinkBytesPerSecond
	}
	return &Uplink{bytesPerSecond: linkBytesPerSecond * uplinkShare, sent: map[string]change{}}
}

// Admit reports whether a copy may be sent now, and counts it if so. Otherwise it returns
// after how long to ask again.
func (u *Uplink) Admit(now time.Time, c Copy) (retryAfter time.Duration, ok bool) {
	backlog := max(0, u.busyUntil.Sub(now))
	sending := time.Duration(float64(c.Bytes) / u.bytesPerSecond * float64(time.Second))
	if c.Bytes <= SmallBytes {
		u.busyUntil = now.Add(backlog + sending)
		return 0, true
	}
	newest := u.sent[c.Table]
	if newest.at.Before(c.At) {
		newest = change{at: c.At}
	}
	if backlog > maxBacklog {
		return backlog - maxBacklog, false
	}
	if reoffer := newest.sentAt.Add(reofferDelay); newest.copies >= MaxCopies && now.Before(reoffer) {
		return reoffer.Sub(now), false
	}
	u.busyUntil = now.Add(backlog + sending)
	newest.copies++
	newest.sentAt = u.busyUntil
	u.sent[c.Table] = newest
	return 0, true
}

// BusyUntil returns when the admitted copies will have been sent.
func (u *Uplink) BusyUntil() time.Time { return u.busyUntil }
