package router

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Settings of the process that TestInstanceCrash kills: the upstream's address
// and the key that the instance takes.
const (
	crashUpstream = "FESCUESTEP_TEST_CRASH_UPSTREAM"
	crashKey      = "FESCUESTEP_TEST_CRASH_KEY"
)

// serveUntilKilled runs an instance in the process that is killed.
func serveUntilKilled(t *testing.T) {
	mairieKey.Digest = config.DigestOf(os.Getenv(crashKey))
	in := start(t, nil, nil)
	in.pools.targets["plume"] = []chain.Target{{ID: "a", Addr: os.Getenv(crashUpstream)}}
	fmt.Println("url", in.url)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// TestInstanceCrash guards against a stream or an answer that looks complete to
// the caller although the instance's process died in the middle of it.
func TestInstanceCrash(t *testing.T) {
	if os.Getenv(crashUpstream) != "" {
		serveUntilKilled(t)
		return
	}
	hold := make(chan struct{})
	fake := &engineFake{words: 8, event: func(seq int, _ string) {
		if seq == 4 {
			<-hold
		}
	}}
	upstream := httptest.NewServer(fake)
	defer upstream.Close()
	defer close(hold)
	cmd := exec.Command(os.Args[0], "-test.run=^TestInstanceCrash$")
	cmd.Env = append(os.Environ(), crashUpstream+"="+upstream.Listener.Addr().String(), crashKey+"="+testKey)
	stdin, err := cmd.StdinPipe() // ends the process with this one
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stdin.Close() }()
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(stdout).ReadString('\n')
	_, url, _ := strings.Cut(strings.TrimSpace(line), "url ")
	stream := (&instance{url: url}).open(t, streamCall)
	if _, err := io.ReadFull(stream, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait() // killed
	rest, err := io.ReadAll(stream)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the stream of a killed instance ended with %v: %s", err, rest)
	}
	if _, err := http.Get(url + "/healthz"); err == nil {
		t.Error("the instance still runs")
	}
}
