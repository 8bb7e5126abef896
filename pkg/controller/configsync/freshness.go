package configsync

import "time"

// Freshness reports whether the instance is fresh and how old its evidence is,
// for metrics. The age is 0 when there never was any.
func (c *Controller) Freshness() (fresh bool, age time.Duration) {
	until, ok := c.expiry()
	if !ok {
		return false, 0
	}
	now := c.now()
	return now < until, now - (until - c.o.Params.Window)
}
