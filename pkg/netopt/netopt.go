// Package netopt sets TCP options on connections and listeners so that an
// unresponsive peer is detected within seconds.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// toleratedSilence is how long a peer may at least be silent before the kernel closes
	// the connection. A sound server may fall silent for a second or so.
	toleratedSilence = 2 * time.Second
	// UserTimeout is how long sent data may remain unacknowledged before the kernel closes
	// the connection. On Linux it also decides, instead of maxLostProbes, when keep-alive
	// probes give up, counted from the last byte received: a connection may have been idle
	// for probeInterval before its peer falls silent.
	UserTimeout = probeInterval + toleratedSilence
	// probeInterval is the idle time before the first keep-alive probe and the
	// time between probes.
	probeInterval = time.Second
	// maxLostProbes is the number of unanswered keep-alive probes after which
	// the kernel closes the connection where UserTimeout is not supported.
	maxLostProbes = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT from linux/tcp.h.
	tcpUserTimeout = 18
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxLostProbes}

// Dialer returns a dialer with the given connect timeout. Its connections fail
// when the peer stops responding.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
}

// Listen listens on an IPv4 TCP address. Accepted connections fail when the
// peer stops responding.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	return config.Listen(ctx, "tcp4", addr)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
