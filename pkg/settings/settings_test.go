package settings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

const secret = "0123456789abcdef-secret"

func parseServe(t *testing.T, args ...string) (*Serve, Errors) {
	t.Helper()
	s := &Serve{}
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	s.Register(fs)
	var wrong Errors
	if err := Parse(fs, args); err != nil && !errors.As(err, &wrong) {
		t.Fatal(err)
	}
	return s, append(wrong, s.Validate()...)
}

// TestServeDefaults guards against defaults that don't pass their own checks
// and against flags that don't override variables.
func TestServeDefaults(t *testing.T) {
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", secret)
	t.Setenv("FESCUESTEP_FAILURE_DOMAIN", "rennes")
	t.Setenv("FESCUESTEP_DRAIN_DELAY", "3s")
	t.Setenv("FESCUESTEP_BODY_LIMIT", "1MiB")
	s, wrong := parseServe(t, "-instance-id", "r1", "--body-limit=64KiB")
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	if s.Domain != "rennes" || s.DrainDelay != 3*time.Second || s.BodyLimit != 64<<10 || s.Advertise != "127.0.0.1:8081" {
		t.Errorf("settings %+v", s)
	}
	if s.AdminCredential.Reveal() != secret {
		t.Error("the credential was not loaded")
	}
}

// TestAllWrongSettingsTogether guards against a report that stops at the
// first wrong setting, in flags, in variables or in the checks.
func TestAllWrongSettingsTogether(t *testing.T) {
	t.Setenv("FESCUESTEP_DRAIN_DELAY", "soon")
	t.Setenv("FESCUESTEP_LOG_LEVEL", "loud")
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", "short")
	_, wrong := parseServe(t, "-body-limit", "much", "-failure-domian", "x", "-listen-peers", "peers:1", "-peer-timeout=5s",
		"-callers-tls-cert", "a.pem", "-table", "table.example", "-instance-id", "R 1", "-list")
	text := wrong.Error()
	for _, want := range []string{
		`-drain-delay (FESCUESTEP_DRAIN_DELAY): "soon"`, `-log-level (FESCUESTEP_LOG_LEVEL): "loud"`, "shorter than 16",
		`-body-limit (FESCUESTEP_BODY_LIMIT): "much"`, "unknown flag -failure-domian; did you mean -failure-domain?",
		`"peers:1" is not an address`, "-peer-timeout (FESCUESTEP_PEER_TIMEOUT): 5s is not between",
		"-callers-tls-cert and -callers-tls-key: give both", `"table.example" is not an address`, `"R 1"`, "-list: needs a value",
		"-failure-domain (FESCUESTEP_FAILURE_DOMAIN): required",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("not reported: %s", want)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

// TestBeyondLoopback guards against a peer or administration listener that is
// reachable from the network without TLS or without a credential.
func TestBeyondLoopback(t *testing.T) {
	pem := filepath.Join(t.TempDir(), "x.pem")
	if err := os.WriteFile(pem, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("FESCUESTEP_INSTANCE_ID", "r1")
	t.Setenv("FESCUESTEP_FAILURE_DOMAIN", "rennes")
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", secret)
	tls := func(listener string) []string {
		return []string{"-" + listener + "-tls-cert", pem, "-" + listener + "-tls-key", pem}
	}
	for _, c := range []struct {
		args       []string
		credential string // of peers
		want       int    // wrong settings
	}{
		{[]string{"-listen-peers", "192.0.2.1:1"}, "", 1},
		{[]string{"-listen-peers", "192.0.2.1:1"}, secret, 1},
		{append(tls("peers"), "-listen-peers", "192.0.2.1:1"), "", 1},
		{append(tls("peers"), "-listen-peers", "192.0.2.1:1"), secret, 0},
		{append(tls("peers"), "-listen-peers", "192.0.2.1:1", "-peers-client-ca", pem), "", 0},
		{append(tls("peers"), "-listen-peers", "0.0.0.0:1"), secret, 1}, // no address to advertise
		{append(tls("peers"), "-listen-peers", "0.0.0.0:1", "-advertise-peers", "192.0.2.1:1"), secret, 0},
		{append(tls("peers"), "-listen-peers", "[::]:1", "-advertise-peers", "192.0.2.1:1"), "", 1},
		{[]string{"-listen-peers", "[::1]:1"}, "", 0},
		{[]string{"-listen-peers", "[::ffff:127.0.0.1]:1"}, "", 0},
		{[]string{"-listen-admin", "192.0.2.1:1"}, "", 1},
		{append(tls("admin"), "-listen-admin", "192.0.2.1:1"), "", 0},
		{[]string{"-listen-callers", "0.0.0.0:80"}, "", 0},
		{[]string{"-listen-callers", "127.0.0.1:8082"}, "", 1}, // used twice
	} {
		t.Setenv("FESCUESTEP_PEER_CREDENTIAL", c.credential)
		if _, wrong := parseServe(t, c.args...); len(wrong) != c.want {
			t.Errorf("%v with credential %q: want %d wrong settings, got %v", c.args, c.credential, c.want, wrong)
		}
	}
}

// TestAdminCredentialRequired guards against an administration listener that
// anyone on the machine can use.
func TestAdminCredentialRequired(t *testing.T) {
	if _, wrong := parseServe(t, "-instance-id", "r1", "-failure-domain", "x"); len(wrong) != 1 {
		t.Errorf("want one wrong setting, got %v", wrong)
	}
	if _, wrong := parseServe(t, "-instance-id", "r1", "-failure-domain", "x", "-listen-admin", ""); len(wrong) != 0 {
		t.Errorf("without administration listener: %v", wrong)
	}
}

// TestSecretIsNotPrinted guards against credentials in logs and errors.
func TestSecretIsNotPrinted(t *testing.T) {
	s := Serve{AdminCredential: secret}
	if text := fmt.Sprintf("%v %+v %#v %s %q", s, s, s, s.AdminCredential, s.AdminCredential); strings.Contains(text, secret) {
		t.Errorf("the credential is printed: %s", text)
	}
}

// TestCredentialFile guards against a credential file that is missing, empty
// or given together with the variable and yet accepted.
func TestCredentialFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "credential")
	if err := os.WriteFile(path, []byte(secret+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := credential{"admin-credential", path}
	if got, err := c.load(); err != nil || got.Reveal() != secret {
		t.Errorf("load: %v", err)
	}
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", secret)
	if _, err := c.load(); err == nil {
		t.Error("file and variable were accepted together")
	}
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", "")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := c.load(); err == nil {
		t.Error("an empty file was accepted")
	}
}

// TestMisspelt guards against a misspelt variable that is ignored, and
// against refusing variables that the platform injects.
func TestMisspelt(t *testing.T) {
	environ := []string{"FESCUESTEP_LISTN_CALLERS=x", "FESCUESTEP_LISTEN_CALLERS=x", "FESCUESTEP_PORT=tcp://1", "HOME=/"}
	var got []string
	for _, err := range Misspelt(environ, []string{"listen-callers", "table", "out"}) {
		got = append(got, err.Error())
	}
	want := []string{"unknown variable FESCUESTEP_LISTN_CALLERS; did you mean FESCUESTEP_LISTEN_CALLERS?"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// FuzzParse guards against arguments that crash the start or are ignored
// silently: what is not reported must have been taken as a flag or be left as
// a positional argument.
func FuzzParse(f *testing.F) {
	for _, args := range []string{"-instance-id r1", "--list", "-=", "---table=x", "-x -y z", "-- -table", "-body-limit=-1", "- x"} {
		f.Add(args)
	}
	f.Fuzz(func(t *testing.T, text string) {
		args := strings.Split(text, " ")
		fs := flag.NewFlagSet("serve", flag.ContinueOnError)
		(&Serve{}).Register(fs)
		err := Parse(fs, args)
		var wrong Errors
		if errors.As(err, &wrong) && len(wrong) == 0 {
			t.Error("an error without content")
		}
		if err == nil && fs.NFlag() == 0 && fs.NArg() < len(args)-1 {
			t.Errorf("%q: %d of %d arguments left and no flag set", args, fs.NArg(), len(args))
		}
	})
}
