package quarantine

import "time"

const (
	// firstDuration is how long a part is quarantined before one request with it is tried.
	// It is short, since requests that are often sent may have run at three upstreams that
	// ended for other reasons. After a trial that ends an upstream it is baseDuration, and
	// doubles with each further one, up to maxDuration.
	firstDuration = 10 * time.Second
	baseDuration  = time.Minute
	maxDuration   = 24 * time.Hour
	// trialInterval is the time between trials that show nothing. Prompts with the part
	// may not come to the instance that is to try one; after trialPatience others do.
	trialInterval = 5 * time.Second
	trialPatience = 30 * time.Second
)

// period is the time for which a part is quarantined.
type period struct {
	since    time.Time // when the last process ended at it
	duration time.Duration
	tryAt    time.Time // when the next prompt with the part may be tried
}

// extend prolongs a period if a process ended at its part after a trial was due. Others
// end at prompts that were sent before the quarantine.
func (p *period) extend(crashedAt time.Time) {
	if crashedAt.After(p.since) {
		p.since = crashedAt
	}
	if due := p.tryAt.Add(-trialInterval); crashedAt.Before(due) {
		return
	}
	p.duration = min(max(2*p.duration, baseDuration), maxDuration)
	p.tryAt = crashedAt.Add(p.duration)
}

// refused returns how long the period lasts; 0 if a trial is due that this instance
// makes.
func (p *period) refused(now time.Time, tries func() bool) time.Duration {
	left := p.tryAt.Sub(now)
	switch {
	case left > 0:
		return left
	case -left < trialPatience && !tries():
		return trialInterval
	}
	p.tryAt = now.Add(trialInterval)
	return 0
}
