package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/fescuestep/fescuestep/pkg/routing"
	"github.com/fescuestep/fescuestep/platform/standin"
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
	percent := rng.IntN(100_000)
	switch rng.IntN(19) {
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
	case 11:
		return s.storeRestored(lasts)
	case 12:
		return fault{u.ID + " leaves", true, func() { u.SetLeaving(true) }, u.restart, lasts}
	case 13:
		return fault{u.ID + " wants no requests", false, func() { u.SetRetryAfter(lasts) }, func() { u.SetRetryAfter(0) }, lasts}
	case 14:
		return fault{u.ID + " sends bytes without end", false, func() { u.SetHandler(noise) }, func() { u.SetHandler(nil) }, lasts}
	case 15:
		return fault{u.ID + " is silent", false, func() { u.SetSilent(lasts) }, nothing, lasts}
	case 16:
		return fault{u.ID + " slows down and states it", false, func() { u.SetStatesWorkTime(true); u.SlowDown(2.5, lasts) }, func() { u.SetStatesWorkTime(false) }, lasts}
	case 17:
		return fault{u.ID + " states a false speed", false, func() { u.SetFalseWorkTime(percent) }, func() { u.SetStatesWorkTime(false) }, lasts}
	}
	return fault{"configuration changed", true, func() { s.mustApply(func(c *routing.Config) { c.Customers[0].Priority++ }) }, nothing, 0}
}

// storeRestored is a fault at whose end the store comes back from the copy that was
// taken at its begin. The operator and the servers write again what it lacks.
func (s *system) storeRestored(lasts time.Duration) fault {
	var old standin.Copy
	end := func() {
		s.store.Restore(old)
		time.Sleep(rewriteDelay)
		s.writeAgain()
	}
	return fault{"store back from a copy", false, func() { old = s.store.Copy() }, end, lasts}
}

// rewriteDelay is how long the store lacks what the operator and the servers had
// written since the copy.
const rewriteDelay = 300 * time.Millisecond

// noise answers with a head that does not end until the connection is closed.
func noise(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection was closed
	}
	defer func() { _ = conn.Close() }()
	line := []byte("X-Noise: " + strings.Repeat("n", 1<<10) + "\r\n")
	_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for err == nil {
		_, err = conn.Write(line)
	}
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
