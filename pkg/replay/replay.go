package replay

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Mismatch is a decision that differs from the one stated in the trace.
type Mismatch struct {
	Line int
	What string
	Want string
	Got  string
}

func (m Mismatch) String() string {
	return fmt.Sprintf("line %d: %s: want %s, got %s", m.Line, m.What, m.Want, m.Got)
}

// Report is the result of a replay.
type Report struct {
	Inputs     int
	Outcomes   int // stated outcomes that were compared
	Mismatches []Mismatch
}

// Run replays a trace. It returns an error for a trace that is not valid;
// decisions that differ are in the report.
func Run(in io.Reader) (*Report, error) {
	p := &player{report: new(Report), pools: map[string]*poolPlayer{}, fresh: newFreshPlayer(), quota: newQuotaPlayer()}
	lines, err := read(in)
	if err != nil {
		return nil, err
	}
	for i := range lines {
		if err := p.play(lines[i:]); err != nil {
			return nil, errors.Wrapf(err, "line %d", lines[i].number)
		}
	}
	return p.report, nil
}

// player holds the state machines that the trace drives.
type player struct {
	report *Report
	line   int
	pools  map[string]*poolPlayer
	fresh  *freshPlayer
	quota  *quotaPlayer
}

// play applies the first of the lines. The others show what the shell answered
// while the first was processed.
func (p *player) play(lines []numbered) error {
	p.line = lines[0].number
	line := lines[0].line
	switch {
	case line.Pool != nil:
		return p.playPool(line.Pool, lines[1:])
	case line.Fresh != nil:
		return p.fresh.play(p, line.Fresh)
	}
	return p.quota.play(p, line.Quota)
}

// input counts one input.
func (p *player) input() { p.report.Inputs++ }

// compare counts one stated outcome and notes a difference.
func compare[T comparable](p *player, what string, want, got T) {
	p.report.Outcomes++
	if want != got {
		p.report.Mismatches = append(p.report.Mismatches,
			Mismatch{p.line, what, fmt.Sprintf("%+v", want), fmt.Sprintf("%+v", got)})
	}
}
