package replay

import (
	"fmt"
	"io"
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
	if err := read(in, p.play); err != nil {
		return nil, err
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

func (p *player) play(number int, line *Line) error {
	p.line = number
	switch {
	case line.Pool != nil:
		return p.playPool(line.Pool)
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
