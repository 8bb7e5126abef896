package settings

import (
	"flag"
	"time"

	"github.com/cockroachdb/errors"
)

// CallerLimits bound what the connections that callers, instances and operators open may
// hold, over all listeners of a process. Zero values are derived from the memory and the
// descriptors of the process.
type CallerLimits struct {
	Memory      Size
	Connections int
	Fields      int
	WriteStall  time.Duration
}

// Register declares the flags.
func (c *CallerLimits) Register(fs *flag.FlagSet) {
	fs.Var(&c.Memory, "caller-memory", "memory for connections, header fields and bodies of all callers; 0: three eighths of the instance's memory")
	fs.IntVar(&c.Connections, "caller-connections", 0, "open connections from callers over all listeners; 0: five eighths of the instance's descriptors")
	fs.IntVar(&c.Fields, "max-header-fields", 0, "header fields of one request; 0: as many as fit into the largest head")
	fs.DurationVar(&c.WriteStall, "write-stall", 10*time.Second, "time in which a caller must take at least a byte of an answer that waits for it")
}

// minCallerMemory holds one body of 4 MB while it is read.
const minCallerMemory = 8 << 20

// Validate returns everything that is wrong.
func (c *CallerLimits) Validate() (wrong Errors) {
	if c.Memory != 0 && c.Memory < minCallerMemory {
		wrong = append(wrong, errors.New("-caller-memory: must be 0 or at least 8MiB"))
	}
	if c.Connections != 0 && c.Connections < 16 {
		wrong = append(wrong, errors.New("-caller-connections: must be 0 or at least 16"))
	}
	if c.Fields != 0 && c.Fields < 64 {
		wrong = append(wrong, errors.New("-max-header-fields: must be 0 or at least 64"))
	}
	if c.WriteStall < time.Second || c.WriteStall > time.Hour {
		wrong = append(wrong, errors.Newf("-write-stall: %v is not between 1s and 1h", c.WriteStall))
	}
	return wrong
}
