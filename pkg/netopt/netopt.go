// Package netopt opens connections and listeners that notice a silent peer.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// UserTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	UserTimeout = 2 * time.Second
	// probeInterval is between keep-alive probes on a connection without data.
	probeInterval = time.Second
	// lostProbes end a connection.
	lostProbes = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
	tcpUserTimeout = 18
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: lostProbes}

// Dialer returns a dialer whose connections fail when the peer falls silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen listens on a TCP address; accepted connections fail when the peer
// falls silent.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp4", addr)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
