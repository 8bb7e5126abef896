package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var namedTest = regexp.MustCompile("`([a-z/]+)\\.(Test\\w+)`")

// TestDocsGuarantees guards against a guarantee whose named test does not exist
// and against a cell that names neither a test nor a reason.
func TestDocsGuarantees(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "guarantees.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	named := namedTest.FindAllStringSubmatch(page, -1)
	if len(named) == 0 {
		t.Fatal("the page names no test")
	}
	for _, m := range named {
		if !declares(t, m[1], m[2]) {
			t.Errorf("pkg/%s declares no %s", m[1], m[2])
		}
	}
	_, matrix, _ := strings.Cut(page, "<!-- begin matrix -->\n")
	matrix, _, ok := strings.Cut(matrix, "<!-- end matrix -->")
	rows := strings.Split(strings.TrimSpace(matrix), "\n")
	if !ok || len(rows) != 2+13 {
		t.Fatalf("the matrix has %d rows, want a header and 13 invariants", len(rows))
	}
	for _, row := range rows[2:] {
		cells := strings.Split(strings.Trim(row, "| "), " | ")
		if len(cells) != 1+12 {
			t.Errorf("%s: %d cells, want 12 failures", cells[0], len(cells)-1)
		}
		for _, cell := range cells[1:] {
			reason := strings.HasPrefix(cell, "not affected: ") || strings.HasPrefix(cell, "not proved")
			if !reason && !namedTest.MatchString(cell) {
				t.Errorf("%s: the cell %q names no test and no reason", cells[0], cell)
			}
		}
	}
}

func declares(t *testing.T, pkg, test string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "pkg", filepath.FromSlash(pkg), "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(data), "\nfunc "+test+"(") {
			return true
		}
	}
	return false
}
