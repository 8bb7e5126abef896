package load

import (
	"io"
	"time"

	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/fair"
	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// Intervals at which instances poll engines and the list, before jitter.
const (
	reportPoll = 250 * time.Millisecond
	eventPoll  = 200 * time.Millisecond
	listPoll   = time.Second
	listLag    = 2 * time.Second // of the platform's list
)

// Options sets up a run.
type Options struct {
	Profile  *Profile
	Seed     uint64
	Duration time.Duration
	Policies []string
	Faults   []Fault
	Overload bool // one customer sends several times its rate
	NoQuota  bool // leave the overload to the fair queue alone
	Progress io.Writer
	Adjust   func(*upstream.Settings) // changes the settings of a trial, may be nil
}

// drain is the time after the last arrival in which requests may end.
const drain = 30 * time.Second

// RunVirtual measures every policy on the same arrivals in virtual time. Its
// figures depend only on the options.
func RunVirtual(o Options) (*Report, error) {
	arrivals := Arrivals(o.Profile, o.Seed, o.Duration, o.Overload)
	report := newReport(o, HitRateBound(arrivals))
	for _, policy := range o.Policies {
		run, err := runVirtual(o, policy, arrivals)
		if err != nil {
			return nil, err
		}
		if o.Overload {
			calm := o
			calm.Overload = false
			without, err := runVirtual(calm, policy, Arrivals(o.Profile, o.Seed, o.Duration, false))
			if err != nil {
				return nil, err
			}
			run.result.WorstCustomerWithout = without.result.WorstCustomerTTFTP99
		}
		report.add(run)
	}
	return report, nil
}

// virtualRun is one policy with its own fleet and instances.
type virtualRun struct {
	options   Options
	clock     *clock
	fleet     *fleet
	instances []*instance
	recorder  *Recorder
	quota     []bucket
	probes    int                 // reports polled for a choice
	moved     int                 // requests withdrawn from an engine and submitted again
	listed    []external.Instance // as the list shows them
}

func runVirtual(o Options, policy string, arrivals []Arrival) (*measured, error) {
	c := newClock()
	v := &virtualRun{options: o, clock: c, recorder: NewRecorder(o.Profile, policy)}
	v.fleet = newFleet(c, o.Profile)
	v.quota = buckets(o.Profile, arrivals, o.Duration)
	v.listed = v.list()
	for i := range o.Profile.Instances {
		in, err := v.newInstance(i, policy)
		if err != nil {
			return nil, err
		}
		v.instances = append(v.instances, in)
	}
	for _, f := range o.Faults {
		c.at(f.At, func() { v.inject(f) })
	}
	c.after(listPoll, v.refreshList)
	for i := range arrivals {
		a := &arrivals[i]
		c.at(a.At, func() { v.instances[a.Instance].arrive(a) })
	}
	c.run(o.Duration + drain)
	result := v.recorder.Result()
	result.WastedTokens = v.fleet.wasted
	result.PrefilledTokens = v.fleet.prefill
	return &measured{result: result, windows: v.recorder.windows}, nil
}

func settings(p *Profile, policy string, seed uint64) upstream.Settings {
	product := policy == "fescuestep"
	return upstream.Settings{
		Pool: config.Pool{
			Name: p.Pool, Kind: config.Model, Weights: "1", MaxInFlight: modelMaxRunning,
			BlockTokens: BlockTokens, PrefillPerSec: modelPrefillPerSec,
			KVPool: p.KVPool, KVImportPerSec: modelKVPerSec,
		},
		Priority:    p.Priority,
		OneWayDelay: p.OneWayDelay,
		Policy:      policy,
		Queue:       fair.DefaultLimits,
		MaxQueue:    upstream.DefaultMaxQueue,
		Coalesce:    product,
		KVTransfer:  product,
		Probe:       product,
		Seed:        seed,
	}
}

func (v *virtualRun) list() []external.Instance {
	var out []external.Instance
	for _, e := range v.fleet.engines {
		out = append(out, external.Instance{
			ID: e.id, Addr: e.id, Pool: v.options.Profile.Pool, Domain: e.domain, State: external.Live,
		})
	}
	return out
}

// refreshList publishes what the platform saw listLag ago.
func (v *virtualRun) refreshList() {
	seen := v.list()
	v.clock.after(listLag, func() { v.listed = seen })
	v.clock.after(listPoll, v.refreshList)
}
