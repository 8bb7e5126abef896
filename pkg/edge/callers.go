package edge

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/callerguard"
)

// CallerOptions limit what callers and other instances may hold. Zero values are derived
// from the memory and the descriptors of the instance.
type CallerOptions struct {
	Descriptors int           // that the process may have; 0: not known
	Bytes       int64         // memory for connections, heads and bodies
	Connections int           // open at a time, over all listeners
	Fields      int           // header fields of a request
	WriteStall  time.Duration // in which a caller must take a byte of its answer
}

// defaultDescriptors is the usual soft limit of a process.
const defaultDescriptors = 1024

// newGuard returns the guard of an instance's connections.
func newGuard(o Options, log hclog.Logger, count func(callerguard.Reason)) *callerguard.Guard {
	c := o.Callers
	if c.Bytes == 0 {
		c.Bytes = callerguard.DefaultBytes(o.MemoryBytes)
	}
	if c.Descriptors == 0 {
		c.Descriptors = defaultDescriptors
	}
	if c.Connections == 0 {
		c.Connections = callerguard.DefaultConnections(c.Descriptors)
	}
	return callerguard.New(callerguard.Options{Bytes: c.Bytes, Connections: c.Connections, WriteStall: c.WriteStall, Count: count, Log: log})
}

// limitFields sets the number of header fields of a request; 0 derives it from the size of
// heads that the configuration allows.
func (l *listener) limitFields(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fields = n
	if n > 0 {
		l.maxFields.Store(int64(n))
	}
}
