// Package replay feeds recorded traces through the decision modules, without
// I/O, and compares their decisions with those that the trace states.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/upstream"
)

// maxLine bounds one line of a trace: the list of 2,800 upstreams takes about
// 400 KB.
const maxLine = 16 << 20

// Line is one line of a trace: an entry of exactly one module.
type Line struct {
	Pool  *upstream.Entry `json:"pool,omitempty"`
	Fresh *FreshEntry     `json:"fresh,omitempty"`
	Quota *QuotaEntry     `json:"quota,omitempty"`
}

// decode reads one line. Unknown fields are refused, because a misspelt one
// would make a replay pass without checking anything.
func decode(data []byte) (*Line, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	line := new(Line)
	if err := d.Decode(line); err != nil {
		return nil, err
	}
	set := 0
	for _, present := range []bool{line.Pool != nil, line.Fresh != nil, line.Quota != nil} {
		if present {
			set++
		}
	}
	if set != 1 {
		return nil, errors.Newf("%d of pool, fresh and quota are given, want one", set)
	}
	return line, nil
}

// numbered is a line with its number in the file.
type numbered struct {
	number int
	line   *Line
}

// read returns the lines of a trace. Blank lines and lines that start with #
// are skipped.
func read(in io.Reader) ([]numbered, error) {
	var lines []numbered
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for number := 1; scanner.Scan(); number++ {
		data := bytes.TrimSpace(scanner.Bytes())
		if len(data) == 0 || data[0] == '#' {
			continue
		}
		line, err := decode(data)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		lines = append(lines, numbered{number, line})
	}
	return lines, errors.Wrap(scanner.Err(), "reading the trace")
}

// Recorder writes the entries of a running instance as a trace. It implements
// upstream.Recorder. After a failed write it records nothing more, because a
// trace with a gap replays to other decisions.
type Recorder struct {
	mu  sync.Mutex
	out *bufio.Writer
	err error
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: bufio.NewWriterSize(out, 1<<16)}
}

// Record implements upstream.Recorder.
func (r *Recorder) Record(e upstream.Entry) {
	data, err := json.Marshal(Line{Pool: &e})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	if err == nil {
		_, err = r.out.Write(append(data, '\n'))
	}
	r.err = err
}

// Close writes what is buffered and returns the first error.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.out.Flush()
	}
	return r.err
}
