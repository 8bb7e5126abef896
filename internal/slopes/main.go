// Command slopes reads the output of go test -bench from standard input and
// writes the measured values as JSON, keyed by package, benchmark and unit.
//
//	go test -run '^$' -bench . ./... | go run ./internal/slopes -commit abc1234 > docs/capacity/slopes.json
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/capacity"
)

func main() {
	commit := flag.String("commit", "", "commit that was measured")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *commit); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer, commit string) error {
	slopes := capacity.Slopes{Commit: commit, Values: map[string]float64{}}
	scanner := bufio.NewScanner(in)
	pkg := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "pkg: "); ok {
			pkg = path.Base(name)
			continue
		}
		if err := addLine(slopes.Values, pkg, line); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}

// processors matches the number of processors that go test appends to a name.
var processors = regexp.MustCompile(`-\d+$`)

// addLine adds the values of one benchmark line: a name, a count and pairs of
// value and unit. Other lines are skipped.
func addLine(values map[string]float64, pkg, line string) error {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return nil
	}
	name := processors.ReplaceAllString(fields[0], "")
	for i := 2; i+1 < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return errors.Wrapf(err, "line %q", line)
		}
		values[pkg+"."+name+":"+fields[i+1]] = v
	}
	return nil
}
