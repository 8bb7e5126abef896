package transport

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestLateWrite guards against a request that is written after its deadline
// because the process was paused after the deadline had been checked.
func TestLateWrite(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close(); _ = far.Close() }()
	conn := &trackedConn{Conn: near}
	start := conn.begin(time.Now().Add(-time.Nanosecond))
	if _, err := conn.Write([]byte("x")); !errors.Is(err, errLate) {
		t.Errorf("got %v, want errLate", err)
	}
	if conn.writesSince(start) {
		t.Error("a write that did not start counts as sent")
	}
}
