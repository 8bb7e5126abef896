package questionnaire

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Mistake is one fault in a questionnaire. Line and Column start at 1.
type Mistake struct {
	Line, Column int
	Field        string // path of the field, for example customers[0].rate
	Message      string
	Suggestion   string // empty when there is none
}

// String returns the mistake on one line.
func (m Mistake) String() string {
	s := fmt.Sprintf("line %d, column %d: ", m.Line, m.Column)
	if m.Field != "" {
		s += m.Field + ": "
	}
	s += m.Message
	if m.Suggestion != "" {
		s += " (" + m.Suggestion + ")"
	}
	return s
}

// Mistakes is the error that Build returns; it holds at least one entry.
type Mistakes []Mistake

// Error implements error with one mistake per line.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// add records a mistake at the position of the field or, when the field is
// missing, of the nearest enclosing one.
func (d *decoder) add(path, message, suggestion string) {
	d.addAt(d.find(path), path, message, suggestion)
}

// addBad records a value that could not be decoded.
func (d *decoder) addBad(path, message, suggestion string) {
	d.bad[path] = true
	d.add(path, message, suggestion)
}

// addChecked records a mistake in the meaning unless it only follows from one
// in the form: the value could not be decoded, or the field seems missing
// because its name is misspelt.
func (d *decoder) addChecked(path, message, suggestion string) {
	_, given := d.positions[path]
	if d.bad[path] || !given && d.incomplete[parent(path)] {
		return
	}
	d.add(path, message, suggestion)
}

// defined reports whether all names that the list at the path defines are
// known, so that a reference to another name is a mistake.
func (d *decoder) defined(list string) bool {
	if _, given := d.positions[list]; !given && d.incomplete[""] {
		return false
	}
	for _, paths := range []map[string]bool{d.bad, d.incomplete} {
		for path := range paths {
			if path == list || strings.HasPrefix(path, list+"[") {
				return false
			}
		}
	}
	return true
}

func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func (d *decoder) addAt(where position, path, message, suggestion string) {
	d.mistakes = append(d.mistakes, Mistake{where.line, where.column, path, message, suggestion})
}

func (d *decoder) find(path string) position {
	for {
		if p, ok := d.positions[path]; ok {
			return p
		}
		path = parent(path)
	}
}

// sorted returns the mistakes in reading order, each once and bounded in number.
func (d *decoder) sorted() []Mistake {
	slices.SortStableFunc(d.mistakes, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	d.mistakes = slices.Compact(d.mistakes)
	return d.mistakes[:min(len(d.mistakes), maxMistakes)]
}
