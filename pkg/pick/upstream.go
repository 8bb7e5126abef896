// Package pick chooses the upstream of a request as filter, scorer and picker
// over a datastore of upstream states.
package pick

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// LoadReport is the last load report of an upstream.
type LoadReport struct {
	SampledAt    time.Time // on this instance's clock
	Running      int
	Waiting      int
	QueuedTokens int // uncached prompt tokens waiting for prefill
}

// InFlightRequest is one request of this instance on an upstream.
type InFlightRequest struct {
	Upstream       *Upstream
	SentAt         time.Time
	UncachedTokens int // uncached prompt tokens expected at the choice

	awaitingImport bool // not yet sent to the engine
	prefilled      bool
	index          int
}

// MarkAwaitingImport marks f as held back for an import; SentNow ends that.
func (f *InFlightRequest) MarkAwaitingImport() { f.awaitingImport = true }

// MarkSent records that the request is sent now, after an import.
func (f *InFlightRequest) MarkSent(now time.Time) { f.awaitingImport, f.SentAt = false, now }

// Upstream is the state of one upstream as this instance knows it.
type Upstream struct {
	ID             string
	Addr           string
	Domain         string
	Incarnation    string
	Epoch          Epoch  // of Incarnation, when owners of index parts told it
	WeightsVersion string // version last reported
	IndexHandle    cacheindex.EngineHandle
	Outlier        retry.OutlierState

	// Evidence that it takes no work. Each is cleared only by newer evidence
	// of its own kind.
	ListedLeaving   bool
	ReportedLeaving bool
	FailedPolls     int  // in a row
	Removed         bool // no longer listed; flights may remain

	PrefillPerSec float64 // tokens per second

	inFlight            []*InFlightRequest
	report              LoadReport
	finishedSinceReport int // flights sent before the report was sampled that ended after
	arrivalRate         rateMeter
	meanDuration        time.Duration // running mean of a flight
	idHash              uint64
	inLongLane          bool // preferred for long prefills
}

// hash returns a hash of the ID that is equal on every instance.
func (u *Upstream) hash() uint64 {
	if u.idHash == 0 {
		u.idHash = xxh3.HashString(u.ID)
	}
	return u.idHash
}

// maxFailedPolls is the number of failed polls in a row after which an upstream
// takes no work. A single one may be a delay on this machine, which would hit
// the polls of all upstreams at once; it only makes the upstream less
// preferred. With polls every 100 ms and a timeout of 0.8 s, two fit into 2 s.
const maxFailedPolls = 2

// Unreachable reports whether polls of the upstream fail.
func (u *Upstream) Unreachable() bool { return u.FailedPolls >= maxFailedPolls }

// Usable reports whether the upstream may take new work at all.
func (u *Upstream) Usable(now time.Time) bool {
	return !u.ListedLeaving && !u.ReportedLeaving && !u.Unreachable() && !u.Removed && !u.Outlier.Ejected(now)
}

// Start records a request that is sent to the upstream now.
func (u *Upstream) Start(now time.Time, uncached int) *InFlightRequest {
	f := &InFlightRequest{Upstream: u, SentAt: now, UncachedTokens: uncached, index: len(u.inFlight)}
	u.inFlight = append(u.inFlight, f)
	u.arrivalRate.add(now, float64(uncached))
	return f
}

// AwaitingImport reports whether f is held back for an import.
func (f *InFlightRequest) AwaitingImport() bool { return f.awaitingImport }

// PendingTokensAfter returns the uncached tokens of this instance's requests that
// were sent after f and are not prefilled.
func (u *Upstream) PendingTokensAfter(f *InFlightRequest) int {
	sum := 0
	for _, o := range u.inFlight {
		if o != f && !o.prefilled && o.SentAt.After(f.SentAt) {
			sum += o.UncachedTokens
		}
	}
	return sum
}

// OnFirstToken records that the engine finished the prefill of f.
func (u *Upstream) OnFirstToken(f *InFlightRequest) { f.prefilled = true }

// durationGain is the weight of one flight in the running mean.
const durationGain = 1.0 / 16

// Finish records the end of f.
func (u *Upstream) Finish(now time.Time, f *InFlightRequest) {
	last := len(u.inFlight) - 1
	u.inFlight[f.index] = u.inFlight[last]
	u.inFlight[f.index].index = f.index
	u.inFlight[last] = nil
	u.inFlight = u.inFlight[:last]
	if !u.sentSinceReport(f) {
		u.finishedSinceReport++
	}
	d := now.Sub(f.SentAt)
	if u.meanDuration == 0 {
		u.meanDuration = d
	}
	u.meanDuration += time.Duration(float64(d-u.meanDuration) * durationGain)
}

// OnReport replaces the load report unless r is older than the present one.
func (u *Upstream) OnReport(r LoadReport) {
	if r.SampledAt.Before(u.report.SampledAt) {
		return
	}
	u.report = r
	u.finishedSinceReport = 0
}

// ResetLoad drops what was known of an earlier incarnation's load. Flights remain
// until their holders notice that the connection broke.
func (u *Upstream) ResetLoad(now time.Time) {
	u.report = LoadReport{SampledAt: now}
	u.finishedSinceReport = 0
}

// LastReport returns the last load report.
func (u *Upstream) LastReport() LoadReport { return u.report }

// InFlight returns this instance's requests on the upstream.
func (u *Upstream) InFlight() int { return len(u.inFlight) }

// TotalInFlight estimates the requests of all instances on the upstream: the last
// report corrected by this instance's own starts and ends since.
func (u *Upstream) TotalInFlight() int {
	since := 0
	for _, f := range u.inFlight {
		if u.sentSinceReport(f) {
			since++
		}
	}
	return max(len(u.inFlight), u.report.Running+u.report.Waiting-u.finishedSinceReport+since)
}

// sendTransitTime is the time after which a request that was sent is certainly part
// of a report sampled at the engine; within it, counting a request twice is
// better than not at all.
const sendTransitTime = 2 * time.Millisecond

// sentSinceReport reports whether f is not yet part of the load report.
func (u *Upstream) sentSinceReport(f *InFlightRequest) bool {
	return f.awaitingImport || f.SentAt.Add(sendTransitTime).After(u.report.SampledAt)
}

// QueuedTokens estimates the uncached tokens that wait for prefill: the
// reported queue, drained since the sample, plus own requests sent since. The
// other instances are taken to send what this one does on average, but no more
// than the upstream can prefill: one instance's rate is too noisy for more.
func (u *Upstream) QueuedTokens(now time.Time, instances int) float64 {
	queued := float64(u.report.QueuedTokens)
	if queued > 0 {
		others := min(float64(instances-1)*u.arrivalRate.perSecond(now), u.PrefillPerSec)
		elapsed := max(now.Sub(u.report.SampledAt), 0).Seconds()
		queued = max(queued-elapsed*(u.PrefillPerSec-others), 0)
	}
	for _, f := range u.inFlight {
		if !f.prefilled && u.sentSinceReport(f) {
			queued += float64(f.UncachedTokens)
		}
	}
	return queued
}

// QueueWait estimates the time until a new request's prefill begins.
func (u *Upstream) QueueWait(now time.Time, instances int) time.Duration {
	if u.PrefillPerSec <= 0 {
		return 0
	}
	return time.Duration(u.QueuedTokens(now, instances) / u.PrefillPerSec * float64(time.Second))
}

// rateTimeConstant is the time constant of the arrival rate.
const rateTimeConstant = 2 * time.Second

// rateMeter is an exponentially decaying mean of tokens per second.
type rateMeter struct {
	value float64
	last  time.Time
}

func (m *rateMeter) add(now time.Time, tokens float64) {
	m.value = m.perSecond(now) + tokens/rateTimeConstant.Seconds()
	m.last = now
}

// perSecond does not change the meter, so that reading a status leaves later
// decisions as they are.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-float64(max(now.Sub(m.last), 0))/float64(rateTimeConstant))
}

// loadWait estimates the delay by the requests in progress on an upstream
// without a prefill rate, such as a plain service: their share of its slots in
// the mean time of a request.
func (u *Upstream) loadWait(slots int) time.Duration {
	return u.meanDuration * time.Duration(u.TotalInFlight()) / time.Duration(max(1, slots))
}

// slotWait estimates the time until one of the upstream's slots is free.
func (u *Upstream) slotWait() time.Duration {
	return u.meanDuration / time.Duration(max(1, u.TotalInFlight()))
}
