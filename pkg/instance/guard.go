package instance

import (
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/router/listener"
	"github.com/fescuestep/fescuestep/pkg/settings"
)

// maxDescriptors bounds what is derived from the limit of the process, which may be very
// high.
const maxDescriptors = 64 << 10

// newGuard returns the guard of the connections at all listeners.
func newGuard(s *settings.Serve, m *metrics.Metrics, log hclog.Logger) *callerguard.Guard {
	o := callerguard.Options{
		Bytes: int64(s.Limits.Memory), Connections: s.Limits.Connections, WriteStall: s.Limits.WriteStall,
		Count: func(r callerguard.Reason) { m.ConnectionEnded(string(r)) }, Log: log,
	}
	if o.Bytes == 0 {
		o.Bytes = callerguard.DefaultBytes(int64(s.MemoryLimit))
	}
	if o.Connections == 0 {
		o.Connections = callerguard.DefaultConnections(descriptors(s.DescriptorLimit))
	}
	return callerguard.New(o)
}

// descriptors returns the set limit, or else that of the process.
func descriptors(set int) int {
	if set > 0 {
		return set
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 1024 // the usual limit
	}
	return int(min(limit.Cur, maxDescriptors))
}

// headerFields returns the number of header fields of one request.
func headerFields(s *settings.Serve) func() int {
	n := s.Limits.Fields
	if n == 0 {
		n = callerguard.DefaultFields(listener.DefaultOptions().MaxHeader)
	}
	return func() int { return n }
}
