package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// Kinds of faults. A target is an engine or an instance number.
const (
	EngineCrash     FaultKind = "engine_crash"     // restarts cold after For
	EventGap        FaultKind = "event_gap"        // loses Count cache events
	InstanceRestart FaultKind = "instance_restart" // restarts without state after For
	TableOutage     FaultKind = "table_outage"     // for For
	KeyRevocation   FaultKind = "key_revocation"   // of the customer Target
)

// Fault is one entry of a fault schedule.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Target int
	For    time.Duration
	Count  int
}

// StandardFaults is the schedule of the measurements: it touches every kind of
// fault once within the run.
func StandardFaults(d time.Duration) []Fault {
	return []Fault{
		{At: d / 6, Kind: EngineCrash, Target: 2, For: time.Second},
		{At: d / 4, Kind: EventGap, Target: 5, Count: 5},
		{At: d * 2 / 5, Kind: TableOutage, For: d / 10},
		{At: d / 2, Kind: InstanceRestart, Target: 1, For: 500 * time.Millisecond},
		{At: d * 3 / 4, Kind: KeyRevocation, Target: 4},
		{At: d * 4 / 5, Kind: EngineCrash, Target: 7, For: 2 * time.Second},
	}
}

// ParseFaults reads a schedule: "none", "standard" or entries such as
// "10s:engine_crash:2:1s,20s:event_gap:5:4". The last part is a duration or,
// for event_gap, a count.
func ParseFaults(text string, d time.Duration) ([]Fault, error) {
	switch text {
	case "none", "":
		return nil, nil
	case "standard":
		return StandardFaults(d), nil
	}
	var out []Fault
	for _, entry := range strings.Split(text, ",") {
		f, err := parseFault(entry)
		if err != nil {
			return nil, errors.Wrapf(err, "fault %q", entry)
		}
		out = append(out, f)
	}
	return out, nil
}

func parseFault(entry string) (Fault, error) {
	parts := strings.Split(entry, ":")
	if len(parts) != 4 {
		return Fault{}, errors.New("want time:kind:target:duration or count")
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return Fault{}, err
	}
	f := Fault{At: at, Kind: FaultKind(parts[1])}
	if f.Target, err = strconv.Atoi(parts[2]); err != nil {
		return Fault{}, err
	}
	switch f.Kind {
	case EventGap:
		f.Count, err = strconv.Atoi(parts[3])
	case EngineCrash, InstanceRestart, TableOutage, KeyRevocation:
		f.For, err = time.ParseDuration(parts[3])
	default:
		err = errors.Newf("unknown kind %q", f.Kind)
	}
	return f, err
}

// inject applies a fault in virtual time. The table and keys are not part of
// the decision code, so that their faults have no effect here.
func (v *virtualRun) inject(f Fault) {
	switch f.Kind {
	case EngineCrash:
		e := v.fleet.engines[f.Target%len(v.fleet.engines)]
		e.crash()
		v.clock.after(f.For, e.restart)
	case EventGap:
		v.fleet.engines[f.Target%len(v.fleet.engines)].lose += f.Count
	case InstanceRestart:
		in := v.instances[f.Target%len(v.instances)]
		in.down = true
		v.clock.after(f.For, func() {
			_ = in.start(v.recorder.result.Name) // fails only for an unknown policy
		})
	}
}
