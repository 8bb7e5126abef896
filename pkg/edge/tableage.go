package edge

import (
	"context"
	"time"
)

// tableAgeInterval is the time between two records of the age of tables.
const tableAgeInterval = time.Second

// unknownAge is logged for a table that was never known to be current.
const unknownAge = -time.Millisecond

// tableAges returns how long ago the configuration and the list of upstreams were last
// known to be current, or unknownAge.
func (i *Instance) tableAges() (config, list time.Duration) {
	operator, upstreams := i.follower.TableNames()
	return i.tableAge(operator), i.tableAge(upstreams)
}

func (i *Instance) tableAge(name string) time.Duration {
	age, ok := i.follower.Age(name)
	if !ok {
		return unknownAge
	}
	return age
}

// recordTableAges sets the metrics of the age of tables until ctx ends.
func (i *Instance) recordTableAges(ctx context.Context) {
	operator, upstreams := i.follower.TableNames()
	for ctx.Err() == nil {
		for _, name := range []string{operator, upstreams} {
			if age, ok := i.follower.Age(name); ok {
				i.deps.ServiceMetrics.TableAge(name, age)
			}
		}
		sleep(ctx, tableAgeInterval)
	}
}
