// Package logging sets up the logger of a process.
package logging

import (
	"io"
	"regexp"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/keys"
)

// Options select what is logged and how.
type Options struct {
	Name   string    // of the process or instance
	Level  string    // trace, debug, info, warn or error
	JSON   bool      // one JSON object per line instead of text
	Output io.Writer // written to by one goroutine at a time
}

// New returns a logger. Keys in its output are masked: nothing logs them, but
// a library's error may quote a header or URL.
func New(o Options) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       o.Name,
		Level:      hclog.LevelFromString(o.Level),
		JSONFormat: o.JSON,
		Output:     masker{o.Output},
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
}

// secretPattern matches keys and Authorization values. The logger writes one
// whole line at a time, so a match is never split over two writes.
var secretPattern = regexp.MustCompile(`(` + keys.Prefix + `|[Bb]earer +)[A-Za-z0-9_~+/.-]{8,}=*`)

type masker struct{ next io.Writer }

// Write implements io.Writer.
func (m masker) Write(line []byte) (int, error) {
	masked := secretPattern.ReplaceAll(line, []byte("${1}[redacted]"))
	if _, err := m.next.Write(masked); err != nil {
		return 0, err
	}
	return len(line), nil
}
