package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestConfigCheck guards against a document with errors that passes with status 0, and
// against differences from the version in force that are not listed.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const service = `"services":[{"name":"app"}]`
	route := func(service, timeout string) string {
		return `"routes":[{"name":"read","host":"a.example","prefix":"/read/","kind":"safe","service":"` + service + `","timeout_ms":` + timeout + `}]`
	}
	inForce := write("1.json", `{"version":1,`+service+`,`+route("app", "1000")+`}`)
	next := write("2.json", `{"version":2,`+service+`,`+route("app", "2000")+`}`)
	wrong := write("3.json", `{"version":3,`+service+`,`+route("other", "1000")+`}`)
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"config", "check", next}, 0, "no mistakes"},
		{[]string{"config", "check", "-against", inForce, next}, 0, `changed: route "read": Timeout: 1s -> 2s`},
		{[]string{"config", "check", "-against", next, inForce}, 0, "1 is not higher than 2"},
		{[]string{"config", "check", wrong}, 1, `leads to the service "other", which is not listed`},
		{[]string{"config", "check", write("4.json", `{}`)}, 1, "has no version"},
	} {
		status, out, errOut := execute("", c.args...)
		if status != c.status || !strings.Contains(out+errOut, c.want) {
			t.Errorf("%v: status %d, output %q", c.args[2:], status, out+errOut)
		}
	}
}
