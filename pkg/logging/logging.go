// Package logging creates the process logger, which redacts secrets, and a
// non-blocking writer for its output.
package logging

import (
	"io"
	"regexp"

	"github.com/hashicorp/go-hclog"

	"github.com/fescuestep/fescuestep/pkg/keys"
)

// Options configures a logger.
type Options struct {
	Name   string    // name of the process or instance
	Level  string    // trace, debug, info, warn or error
	JSON   bool      // one JSON object per line instead of text
	Output io.Writer // written to by one goroutine at a time
}

// New returns a logger that redacts API keys and bearer tokens from its output.
// The router itself never logs them, but an error from a library may quote a
// header or URL.
func New(o Options) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       o.Name,
		Level:      hclog.LevelFromString(o.Level),
		JSONFormat: o.JSON,
		Output:     maskingWriter{o.Output},
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
}

// secretPattern matches API keys and bearer tokens. The logger writes one whole
// line per call, so a match is never split across two writes.
var secretPattern = regexp.MustCompile(`(` + keys.Prefix + `|[Bb]earer +)[A-Za-z0-9_~+/.-]{8,}=*`)

// maskingWriter redacts secrets from each line before writing it to out.
type maskingWriter struct{ out io.Writer }

// Write redacts and writes one line. On success it returns the length of the
// original line, as io.Writer requires.
func (m maskingWriter) Write(line []byte) (int, error) {
	masked := secretPattern.ReplaceAll(line, []byte("${1}[redacted]"))
	if _, err := m.out.Write(masked); err != nil {
		return 0, err
	}
	return len(line), nil
}
