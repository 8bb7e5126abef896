package concurrency

import "time"

// Room is the capacity of the upstreams of a service for all instances together.
type Room struct {
	Free  int           // concurrent requests that could start now without queueing
	Total int           // concurrent requests that run without queueing
	Wait  time.Duration // expected time until a slot is free; 0: one is free, or none will be
}

// Add adds an upstream with so many requests of all instances, of which each takes
// perRequest.
func (r *Room) Add(limit, running int, perRequest time.Duration) {
	first := r.Total == 0
	r.Total += limit
	if running < limit {
		r.Free += limit - running
		r.Wait = 0
		return
	}
	// The running requests end evenly spread, and those that wait start before.
	wait := perRequest * time.Duration(running-limit+1) / time.Duration(max(1, limit))
	if r.Free == 0 && (first || wait < r.Wait) {
		r.Wait = wait
	}
}
