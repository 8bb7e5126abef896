// Package pick chooses the upstream of a request. A policy filters and scores the
// upstreams in a Store, which holds their state, and picks one.
package pick

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/cacheindex"
	"github.com/fescuestep/fescuestep/pkg/retry"
)

// LoadReport is the load that an upstream reported.
type LoadReport struct {
	SampledAt    time.Time // on this instance's clock
	Running      int       // requests in execution
	Waiting      int       // requests queued in the upstream
	QueuedTokens int       // uncached prompt tokens waiting for prefill
}

// InFlightRequest is a request that this instance has in flight on an upstream.
type InFlightRequest struct {
	Upstream       *Upstream
	SentAt         time.Time
	UncachedTokens int // uncached prompt tokens expected when the upstream was chosen

	awaitingImport bool // not yet sent to the engine
	prefilled      bool
	index          int // in Upstream.inFlight
}

// MarkAwaitingImport records that f is delayed for an import and not yet sent to the
// engine. MarkSent ends this state.
func (f *InFlightRequest) MarkAwaitingImport() { f.awaitingImport = true }

// MarkSent records that f is sent to the engine at now, after an import.
func (f *InFlightRequest) MarkSent(now time.Time) { f.awaitingImport, f.SentAt = false, now }

// Upstream is the state of one upstream as this instance knows it.
type Upstream struct {
	ID             string
	Addr           string
	Domain         string
	Incarnation    string
	WeightsVersion string // last reported weights version
	IndexHandle    cacheindex.EngineHandle
	Outlier        retry.OutlierState

	// Reasons not to send requests to the upstream. Each is cleared only by newer
	// information from the same source.
	ListedLeaving   bool // leaving according to the list of upstreams
	ReportedLeaving bool // leaving according to its own load report
	FailedPolls     int  // number of consecutive failed polls
	Removed         bool // no longer listed; requests may remain in flight

	PrefillPerSec float64 // prefill rate in tokens per second, 0 if it is not an engine

	inFlight            []*InFlightRequest
	report              LoadReport
	finishedSinceReport int           // requests that are part of the report and ended after it
	arrivalRate         rateMeter     // uncached tokens that this instance sends
	meanDuration        time.Duration // moving average of the duration of a request
	idHash              uint64        // cached result of hash, 0 before its first call
	inLongLane          bool          // preferred for long prefills
}

// hash returns a hash of the ID that is equal on all instances.
func (u *Upstream) hash() uint64 {
	if u.idHash == 0 {
		u.idHash = xxh3.HashString(u.ID)
	}
	return u.idHash
}

// maxFailedPolls is the number of consecutive failed polls after which an upstream
// gets no requests. A single failure may be a delay on this machine, which would
// affect the polls of all upstreams at once, so it only lowers the preference. With
// polls every 100 ms and a timeout of 0.8 s, two failures are detected within 2 s.
const maxFailedPolls = 2

// Unreachable reports whether the last maxFailedPolls polls of the upstream failed.
func (u *Upstream) Unreachable() bool { return u.FailedPolls >= maxFailedPolls }

// Usable reports whether new requests may be sent to the upstream. It does not
// consider its load.
func (u *Upstream) Usable(now time.Time) bool {
	return !u.ListedLeaving && !u.ReportedLeaving && !u.Unreachable() && !u.Removed && !u.Outlier.Ejected(now)
}

// Start records a request with the given number of uncached tokens that is sent to
// the upstream at now.
func (u *Upstream) Start(now time.Time, uncached int) *InFlightRequest {
	f := &InFlightRequest{Upstream: u, SentAt: now, UncachedTokens: uncached, index: len(u.inFlight)}
	u.inFlight = append(u.inFlight, f)
	u.arrivalRate.add(now, float64(uncached))
	return f
}

// AwaitingImport reports whether f is delayed for an import.
func (f *InFlightRequest) AwaitingImport() bool { return f.awaitingImport }

// PendingTokensAfter returns the sum of the uncached tokens of this instance's
// requests that were sent after f and are not prefilled yet.
func (u *Upstream) PendingTokensAfter(f *InFlightRequest) int {
	sum := 0
	for _, other := range u.inFlight {
		if other != f && !other.prefilled && other.SentAt.After(f.SentAt) {
			sum += other.UncachedTokens
		}
	}
	return sum
}

// OnFirstToken records that the engine finished the prefill of f.
func (u *Upstream) OnFirstToken(f *InFlightRequest) { f.prefilled = true }

// durationGain is the weight of one request in the moving average of durations.
const durationGain = 1.0 / 16

// Finish records that f ended at now.
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

// OnReport replaces the load report unless r was sampled before the current one.
func (u *Upstream) OnReport(r LoadReport) {
	if r.SampledAt.Before(u.report.SampledAt) {
		return
	}
	u.report = r
	u.finishedSinceReport = 0
}

// ResetLoad discards the load report of an earlier incarnation. Requests in flight
// remain until their callers detect the broken connection and finish them.
func (u *Upstream) ResetLoad(now time.Time) {
	u.report = LoadReport{SampledAt: now}
	u.finishedSinceReport = 0
}

// LastReport returns the current load report.
func (u *Upstream) LastReport() LoadReport { return u.report }

// InFlight returns the number of requests that this instance has in flight on the
// upstream.
func (u *Upstream) InFlight() int { return len(u.inFlight) }

// TotalInFlight estimates the number of requests that all instances have in flight on
// the upstream: the last report, corrected by the requests of this instance that
// started or ended since.
func (u *Upstream) TotalInFlight() int {
	sent := 0
	for _, f := range u.inFlight {
		if u.sentSinceReport(f) {
			sent++
		}
	}
	return max(len(u.inFlight), u.report.Running+u.report.Waiting-u.finishedSinceReport+sent)
}

// sendTransitTime is the time after which a sent request is certainly included in a
// load report sampled at the engine. Before that it is counted in addition to the
// report, because counting a request twice is better than not at all.
const sendTransitTime = 2 * time.Millisecond

// sentSinceReport reports whether f may not be included in the load report yet.
func (u *Upstream) sentSinceReport(f *InFlightRequest) bool {
	return f.awaitingImport || f.SentAt.Add(sendTransitTime).After(u.report.SampledAt)
}

// QueuedTokens estimates the number of uncached tokens that wait for prefill at now:
// the reported queue, less what was prefilled since, plus this instance's requests
// sent since. Each other instance is assumed to send at the mean rate of this one,
// but all together at most what the upstream can prefill, because the rate of one
// instance is too noisy for a higher estimate.
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

// QueueWait estimates the time until the prefill of a new request begins. It is 0
// for an upstream without a prefill rate.
func (u *Upstream) QueueWait(now time.Time, instances int) time.Duration {
	if u.PrefillPerSec <= 0 {
		return 0
	}
	return time.Duration(u.QueuedTokens(now, instances) / u.PrefillPerSec * float64(time.Second))
}

// rateTimeConstant is the time constant of the exponential decay in a rateMeter.
const rateTimeConstant = 2 * time.Second

// rateMeter measures a rate in tokens per second as an exponentially decaying mean.
type rateMeter struct {
	value float64   // tokens per second at last
	last  time.Time // time of the last add
}

func (m *rateMeter) add(now time.Time, tokens float64) {
	m.value = m.perSecond(now) + tokens/rateTimeConstant.Seconds()
	m.last = now
}

// perSecond returns the rate at now. It does not change the meter, so that a status
// query has no effect on later decisions.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-float64(max(now.Sub(m.last), 0))/float64(rateTimeConstant))
}

// loadWait estimates the delay caused by the requests in flight on an upstream
// without a prefill rate, such as a service that is not an engine: the mean duration
// of a request times the share of the slots in use.
func (u *Upstream) loadWait(slots int) time.Duration {
	return u.meanDuration * time.Duration(u.TotalInFlight()) / time.Duration(max(1, slots))
}

// slotWait estimates the time until one of the upstream's slots is free.
func (u *Upstream) slotWait() time.Duration {
	return u.meanDuration / time.Duration(max(1, u.TotalInFlight()))
}
