package hostile

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fescuestep-hostile-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "fescuestep")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/fescuestep").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

const (
	startLimit = 15 * time.Second
	// playLimit bounds the wait until a crowd has sent what it sends at first.
	playLimit = 5 * time.Second
	// holdTime is how long a crowd stays afterwards.
	holdTime = time.Second
	// ordinaryTries is how many times an ordinary caller tries one request.
	ordinaryTries = 20
	tryPause      = 200 * time.Millisecond
)

// process is a running process of the program.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	ended   chan struct{}
	log     string
	maxRSS  int64 // bytes
	maxFDs  int
	stopped chan struct{} // ends the sampling
	sampled chan struct{}
}

// startProcess starts the program; it is ended with the test.
func startProcess(t *testing.T, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binary, args...), ended: make(chan struct{}), stopped: make(chan struct{}), sampled: make(chan struct{})}
	p.log = filepath.Join(t.TempDir(), "log")
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		_ = out.Close()
	})
	return p
}

// sample records the highest memory and number of descriptors until finish.
func (p *process) sample() {
	defer close(p.sampled)
	for {
		p.maxRSS, p.maxFDs = max(p.maxRSS, p.rss()), max(p.maxFDs, p.fds())
		select {
		case <-p.stopped:
			return
		case <-p.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (p *process) rss() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kib << 10
		}
	}
	return 0
}

func (p *process) fds() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// check reports what the process did wrong: whether it has ended, and what it used.
func (p *process) check(memory int64, descriptors int) {
	p.t.Helper()
	select {
	case <-p.ended:
		text, _ := os.ReadFile(p.log)
		p.t.Fatalf("the process has ended: %s", text[max(0, len(text)-2000):])
	default:
	}
	close(p.stopped)
	<-p.sampled
	p.t.Logf("highest memory %d KB, most descriptors %d", p.maxRSS>>10, p.maxFDs)
	if p.maxRSS > memory {
		p.t.Errorf("memory %d KB, above %d KB", p.maxRSS>>10, memory>>10)
	}
	if p.maxFDs > descriptors {
		p.t.Errorf("%d descriptors, above %d", p.maxFDs, descriptors)
	}
}

// await polls until ok.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("gave up waiting: %s", what)
}

// try reports whether one of several tries of an ordinary request gets its answer.
func try(t *testing.T, what string, request func() error) {
	t.Helper()
	var err error
	for range ordinaryTries {
		if err = request(); err == nil {
			return
		}
		time.Sleep(tryPause)
	}
	t.Errorf("%s is not answered: %v", what, err)
}

// freeAddrs returns different loopback addresses with free ports.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}
