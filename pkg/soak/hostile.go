package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fescuestep/fescuestep/pkg/hostile"
)

// hostileClients misbehave at one instance during a fault.
const hostileClients = 60

// hostileCallers is a fault in which callers misbehave at an instance, with the key of a
// customer and without, on a path with a route and on one without. None of their requests
// with a route is ever complete, so none may reach a server.
func (s *system) hostileCallers(p *process, rng *rand.Rand, lasts time.Duration) fault {
	kinds := hostile.Kinds()
	kind := kinds[rng.IntN(len(kinds))]
	target := hostile.Target{Addr: p.callers(), Method: "POST", Path: pathOrder, Body: 64 << 10, Fields: 3200}
	targets := []hostile.Target{target}
	switch kind {
	case hostile.StalledBody, hostile.StalledPieces, hostile.StalledChunks, hostile.SlowSender:
		target.Host = host
		target.Header = "Authorization: Bearer " + keyKept + "\r\nDeadline-Ms: 5000\r\n"
		targets = append(targets, target)
	}
	var crowd *hostile.Crowd
	begin := func() {
		var err error
		if crowd, err = hostile.Start(context.Background(), kind, hostileClients, targets...); err != nil {
			panic(err) // the kinds are the package's own
		}
	}
	return fault{"callers misbehave (" + string(kind) + ") at " + p.name, false, begin, func() { crowd.Close() }, lasts}
}
