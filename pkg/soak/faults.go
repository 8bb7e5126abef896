package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// fault is one trouble: begin starts it, end heals it.
type fault struct {
	name    string
	planned bool // operators' work, which may cut nothing
	begin   func()
	end     func()
	lasts   time.Duration
}

func nothing() {}

// draw returns a random fault.
func (s *system) draw(rng *rand.Rand) fault {
	p := s.processes[rng.IntN(len(s.processes))]
	servers := append(append([]*upstream(nil), s.engines...), s.services...)
	u := servers[rng.IntN(len(servers))]
	lasts := time.Duration(300+rng.IntN(2500)) * time.Millisecond
	m := []mode{delay, silence, oneWay, refuse}[rng.IntN(4)]
	switch rng.IntN(12) {
	case 0:
		return fault{"kill " + p.name, false, func() { p.signal(syscall.SIGKILL); <-p.end() }, func() { s.restart(p) }, lasts}
	case 1:
		return fault{"pause " + p.name, false, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }, lasts}
	case 2, 3:
		return fault{"stop " + p.name, true, func() { p.signal(syscall.SIGTERM); <-p.end() }, func() { s.restart(p) }, 0}
	case 4:
		return fault{"hang up " + p.name, true, func() { p.signal(syscall.SIGHUP) }, nothing, 0}
	case 5:
		return fault{"store down", false, func() { s.store.SetDown(true) }, func() { s.store.SetDown(false) }, lasts}
	case 6:
		return fault{fmt.Sprintf("store link of %s in mode %d", p.name, m), false, func() { p.storeAt.set(m) }, func() { p.storeAt.set(pass) }, lasts}
	case 7:
		return fault{fmt.Sprintf("link of %s in mode %d", u.ID, m), false, func() { u.proxy.set(m) }, func() { u.proxy.set(pass) }, lasts}
	case 8:
		return fault{"store forgets its history", false, s.store.Compact, nothing, 0}
	case 9:
		return fault{"store loses answers", false, func() { s.store.DropResponses(3) }, nothing, 0}
	case 10:
		return fault{"weights named", true, s.nameWeights, nothing, 0}
	}
	return fault{"configuration changed", true, func() { s.mustApply(func(c *routing.Config) { c.Customers[0].Priority++ }) }, nothing, 0}
}

func (s *system) mustApply(change func(*routing.Config)) {
	if err := s.apply(change); err != nil {
		panic(err) // the configuration is the soak's own
	}
}

func (s *system) restart(p *process) {
	if err := s.start(p); err != nil {
		panic(err) // the first start worked
	}
}
