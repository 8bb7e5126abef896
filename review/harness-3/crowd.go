//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fescuestep/fescuestep/platform/standin"
)

const (
	memoryLimitKB  = 134 << 10 // memory_mb of the settings
	memoryInterval = 20 * time.Millisecond

	crowdClients  = 1700 // connections at a time, of the 4,100 descriptors of a machine
	calmClients   = 50
	crowdPause    = 2 * time.Millisecond // between two connections
	partsBytes    = 6500                 // of Prompt-Prefix; max_header_bytes is 16,384
	waves         = 3
	endsThatBreak = 3 // of a machine's processes, by the rule
	machinesBreak = 2 // a tenth of six, two at least
	ordinary      = 20
)

// memory returns the anonymous memory of the process, without the pages of its program.
func (m *machine) memory() (kb int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return kb
}

// limitMemory does what the platform does until the returned function is called: it kills
// the process when it uses more than its memory. That function returns the most that was
// seen, and whether the process was killed.
func (m *machine) limitMemory() (end func() (peakKB int, killed bool)) {
	stop, done := make(chan struct{}), make(chan struct{})
	peak, killed := 0, false
	go func() {
		defer close(done)
		for !killed {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			peak = max(peak, m.memory())
			if peak > memoryLimitKB {
				killed = true
				m.world.record("the platform kills %s: it uses %d kB of %d", m.name, peak, memoryLimitKB)
				_ = m.cmd.Process.Signal(syscall.SIGKILL)
				<-m.ended
			}
		}
	}()
	return func() (int, bool) {
		close(stop)
		<-done
		return peak, killed
	}
}

// crowd has many clients send legal requests whose prompts have very many short parts, and
// read the answers. The platform kills a process that uses more than its memory.
func crowd(w *world, trouble bool) int {
	w.configure(streamConfig())
	for i := range 12 {
		w.engine(standin.Options{
			ID: fmt.Sprintf("i-%d", 1+i), Service: streamService, Zone: "ribe", Model: model, Software: "v1",
			EventsPerStream: 20, EventGap: 350 * time.Millisecond, Slots: 64, Room: 256, // 192 wait
		})
	}
	w.startMachines("front-ribe-1", "front-ribe-2", "front-aalborg-1", "front-aalborg-2", "front-hirtshals-1", "front-vejle-1")
	time.Sleep(3 * time.Second)
	clients := crowdClients
	if !trouble {
		clients = calmClients
	}
	ends := map[*machine]int{}
	for range waves {
		for _, m := range w.machines[:machinesBreak] {
			if w.wave(m, clients) {
				ends[m]++
				time.Sleep(downTime)
				m.start()
				m.awaitReady()
			}
		}
	}
	often := 0
	for m, n := range ends {
		w.record("the process of %s was ended %d times", m.name, n)
		if n >= endsThatBreak {
			often++
		}
	}
	if often >= machinesBreak {
		return broken
	}
	return held
}

// wave has a crowd and some ordinary clients call one machine. It reports whether its
// process was killed.
func (w *world) wave(m *machine, clients int) (killed bool) {
	var wg sync.WaitGroup
	var connected, answered, whole, cut atomic.Int64
	end := m.limitMemory()
	over := make(chan struct{})
	for i := range clients {
		wg.Go(func() {
			select {
			case <-over:
				return
			case <-time.After(time.Duration(i) * crowdPause):
			}
			m.callWithManyParts(i, &connected, &answered)
		})
	}
	for i := range ordinary {
		wg.Go(func() {
			t := m.stream(streamPath, fmt.Sprintf("ordinary-%s-%d-%d", m.name, time.Now().UnixNano(), i), nil, 0)
			if t.whole && t.last > 0 {
				whole.Add(1)
			} else if t.last > 0 {
				cut.Add(1)
			}
		})
	}
	go func() {
		<-m.ended
		close(over)
	}()
	wg.Wait()
	peak, killed := end()
	w.record("%s: %d clients of the crowd connected, %d got an answer; of %d ordinary streams %d were whole and %d cut; most memory %d kB",
		m.name, connected.Load(), answered.Load(), ordinary, whole.Load(), cut.Load(), peak)
	return killed
}

// callWithManyParts sends one request and reads its answer to the end.
func (m *machine) callWithManyParts(n int, connected, answered *atomic.Int64) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", m.ip, portFront), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	connected.Add(1)
	var parts strings.Builder
	tokens := 1
	for ; parts.Len() < partsBytes; tokens++ {
		fmt.Fprintf(&parts, "%x:1,", tokens)
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 8000\r\n"+
		"Model-Name: %s\r\nToken-Count: %d,20\r\nPrompt-Prefix: %sffff:1\r\nContent-Length: 0\r\n\r\n",
		streamPath, host, time.Now().UnixNano(), n, key, model, tokens, parts.String())
	if _, err := io.WriteString(conn, request); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(9 * time.Second))
	answer := make([]byte, 4<<10)
	if _, err := conn.Read(answer); err != nil {
		return
	}
	answered.Add(1)
	_, _ = io.Copy(io.Discard, conn)
}
