package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/metrics"
	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/pkg/settings"
)

var update = flag.Bool("update", false, "rewrite the generated tables in docs")

// checkTable compares the part of a page between two markers with the table
// generated from the code.
func checkTable(t *testing.T, page, marker, want string) {
	t.Helper()
	path := filepath.Join("..", "..", "docs", page)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- begin "+marker+" -->\n", "<!-- end "+marker+" -->"
	before, rest, ok := strings.Cut(string(text), begin)
	got, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		t.Fatalf("%s has no markers for %s", page, marker)
	}
	if got == want {
		return
	}
	if *update {
		if err := os.WriteFile(path, []byte(before+begin+want+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Errorf("docs/%s differs from the code; run 'make docs' (-page +code):\n%s", page, cmp.Diff(got, want))
}

// TestDocsErrors guards against result codes that docs/errors.md doesn't list.
func TestDocsErrors(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Code | Name | HTTP | Type | Run | Meaning |\n|---|---|---|---|---|---|\n")
	for _, i := range code.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | `%s` | %s |\n", i.Code, i.Name, i.Status, i.Type, i.Run, i.Meaning)
	}
	checkTable(t, "errors.md", "errors", b.String())
}

// TestDocsMetrics guards against metrics that docs/metrics.md doesn't list.
func TestDocsMetrics(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Name | Kind | Labels | Meaning |\n|---|---|---|---|\n")
	for _, d := range metrics.Definitions() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, strings.Join(d.Labels, ", "), d.Meaning)
	}
	checkTable(t, "metrics.md", "metrics", b.String())
}

// TestDocsSettings guards against settings of any command that
// docs/configuration.md doesn't list.
func TestDocsSettings(t *testing.T) {
	var b strings.Builder
	for _, e := range commands(streams{}) {
		list := []subcommands.Command{e.cmd}
		prefix := ""
		if g, ok := e.cmd.(*group); ok {
			list, prefix = g.commands, g.name+" "
		}
		for _, c := range list {
			settingsTable(&b, prefix+c.Name(), c.SetFlags)
		}
	}
	checkTable(t, "configuration.md", "settings", b.String())
}

func settingsTable(b *strings.Builder, name string, register func(*flag.FlagSet)) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	register(fs)
	first := true
	fs.VisitAll(func(f *flag.Flag) {
		if first {
			fmt.Fprintf(b, "\n### `%s`\n\n| Flag | Variable | Default | Meaning |\n|---|---|---|---|\n", name)
			first = false
		}
		value := f.DefValue
		if value != "" {
			value = "`" + value + "`"
		}
		fmt.Fprintf(b, "| `-%s` | `%s` | %s | %s |\n", f.Name, settings.EnvName(f.Name), value, f.Usage)
	})
	if !first {
		b.WriteString("\n")
	}
}

var fieldRow = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| [^|]+ \\| (yes|no) \\|")

// TestDocsQuestionnaire guards against fields of the questionnaire that
// docs/configuration.md doesn't list, lists without being accepted, or lists
// with the wrong obligation.
func TestDocsQuestionnaire(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, row := range fieldRow.FindAllStringSubmatch(string(text), -1) {
		got = append(got, row[1]+" required: "+row[2])
	}
	want := fieldsOf("", reflect.TypeFor[questionnaire.Questionnaire]())
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("docs/configuration.md (-schema +page):\n%s", diff)
	}
}

func fieldsOf(prefix string, typ reflect.Type) (list []string) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		path := prefix + f.Tag.Get("yaml")
		required := "no"
		if strings.HasPrefix(f.Tag.Get("validate"), "required") {
			required = "yes"
		}
		list = append(list, path+" required: "+required)
		switch {
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			list = append(list, fieldsOf(path+"[].", f.Type.Elem())...)
		case f.Type.Kind() == reflect.Struct:
			list = append(list, fieldsOf(path+".", f.Type)...)
		}
	}
	return list
}

var metricName = regexp.MustCompile("`([a-z_]+)(\\{[^`]*\\})?`")

// TestDocsFaults guards against a table of faults that names metrics which
// don't exist.
func TestDocsFaults(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, d := range metrics.Definitions() {
		known[strings.TrimPrefix(d.Name, metrics.Prefix)] = true
	}
	_, faults, _ := strings.Cut(string(text), "## Faults")
	rows := 0
	for line := range strings.Lines(faults) {
		columns := strings.Split(line, " | ")
		if len(columns) != 3 || columns[0] == "| Fault" {
			continue
		}
		rows++
		for _, match := range metricName.FindAllStringSubmatch(columns[1], -1) {
			if !known[match[1]] {
				t.Errorf("no metric is named %s: %s", match[1], columns[0])
			}
		}
	}
	if rows < 10 {
		t.Errorf("%d faults found", rows)
	}
}
