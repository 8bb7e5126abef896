package capacity

import (
	_ "embed"
	"fmt"
	"math"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

//go:embed page.md.tmpl
var pageTemplate string

// ErrMissingSlopes is returned for slopes that lack a value the page needs.
var ErrMissingSlopes = errors.New("slopes are missing")

// fleet is what the page shows of one size.
type fleet struct {
	Size   Size
	Rows   []Row
	Total  Row // of the rows that count as control
	Faults []Fault
}

type page struct {
	Commit string
	Fleets []fleet
	Slopes []slope
	Edge   []edgeFleet
}

type slope struct {
	Key   string
	Value string
}

// Page returns the text of docs/CAPACITY.md.
func Page(s *Slopes) (string, error) {
	r := newReader(s)
	p := page{Commit: s.Commit, Edge: edgeFleets()}
	for _, size := range []Size{Today(), TwoYears()} {
		rows := Rows(size, r)
		p.Fleets = append(p.Fleets, fleet{size, rows, total(rows, nil), faults(size)})
	}
	if len(r.missing) > 0 {
		return "", errors.Wrapf(ErrMissingSlopes, "%s", strings.Join(r.missing, ", "))
	}
	for _, k := range r.keys() {
		p.Slopes = append(p.Slopes, slope{k, fmt.Sprintf("%.4g", s.Values[k])})
	}
	t, err := template.New("page").Funcs(functions).Parse(pageTemplate)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	if err := t.Execute(&out, p); err != nil {
		return "", err
	}
	return out.String(), nil
}

// total sums the rows that count as control, except the named ones.
func total(rows []Row, except []string) Row {
	sum := Row{Role: "control together"}
	for _, row := range rows {
		sum.Reads += row.Reads
		sum.Writes += row.Writes
		if !row.Control || contains(except, row.Role) {
			continue
		}
		sum.State += row.State
		sum.Messages += row.Messages
		sum.Core += row.Core
		sum.Bytes += row.Bytes
	}
	return sum
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

var functions = template.FuncMap{
	"bytes":   formatBytes,
	"number":  number,
	"verdict": verdict,
	"budget":  func() string { return fmt.Sprintf("%.1f%% of a core, 128 MB, 25 KB/s", budgetCore) },
	"platform": func(r Row) string {
		return compare("reads", r.Reads, budgetReads) + "; " + compare("writes", r.Writes, budgetWrites)
	},
}

func formatBytes(v float64) string {
	switch {
	case v >= 1e9:
		return fmt.Sprintf("%.1f GB", v/1e9)
	case v >= 1e6:
		return fmt.Sprintf("%.1f MB", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.1f KB", v/1e3)
	}
	return fmt.Sprintf("%.0f B", v)
}

func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// verdict says by how much the sum meets or exceeds each budget.
func verdict(r Row) string {
	return strings.Join([]string{
		compare("processor", r.Core, budgetCore),
		compare("memory", r.State, budgetMemory),
		compare("network", r.Bytes, budgetBytes),
	}, "; ")
}

func compare(what string, v, budget float64) string {
	if v <= budget {
		return fmt.Sprintf("%s within the budget (%s%% of it)", what, number(100*v/budget))
	}
	return fmt.Sprintf("%s EXCEEDS the budget %.3g times", what, v/budget)
}
