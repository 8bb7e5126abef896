package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/examples"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

const credential = "0123456789abcdef"

// execute runs the binary's commands with the given standard input.
func execute(in string, args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	s := streams{strings.NewReader(in), &o, &e}
	status = run(context.Background(), commands(s), args, s)
	return status, o.String(), e.String()
}

// TestUsageErrors guards against usage errors without exit status 2 or
// without exactly one line that says what to do.
func TestUsageErrors(t *testing.T) {
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", credential)
	for args, want := range map[string]string{
		"":                          "'fescuestep help' lists them",
		"keys":                      `did you mean "key"?`,
		"xyzzy":                     "'fescuestep help' lists all",
		"help xyzzy":                "'fescuestep help' lists all",
		"key":                       "'fescuestep help key' lists them",
		"key lst":                   `did you mean "list"?`,
		"key list -custmer x":       "did you mean -customer?",
		"key list x":                "unexpected argument",
		"key create":                "usage: fescuestep key create",
		"key list -timeout x":       "FESCUESTEP_TIMEOUT",
		"version -x":                "'fescuestep help version' lists the flags",
		"questionnaire check a b":   `unexpected argument "b"`,
		"key list -admin localhost": "is not a URL",
	} {
		status, out, errOut := execute("", strings.Fields(args)...)
		if status != 2 || out != "" || strings.Count(errOut, "\n") != 1 || !strings.Contains(errOut, want) {
			t.Errorf("%q: status %d, %q, want one line with %q", args, status, errOut, want)
		}
	}
}

// TestHelp guards against a command without help, and help that goes to
// standard error or gives a failure status.
func TestHelp(t *testing.T) {
	if status, out, _ := execute("", "help"); status != 0 || !strings.Contains(out, "questionnaire") {
		t.Errorf("help: %d %s", status, out)
	}
	visit := func(path ...string) {
		status, out, errOut := execute("", append([]string{"help"}, path...)...)
		if status != 0 || !strings.HasPrefix(out, "Usage: fescuestep "+strings.Join(path, " ")) || errOut != "" {
			t.Errorf("help %v: %d %q %q", path, status, out, errOut)
		}
		again, outAgain, _ := execute("", append(path, "-h")...)
		if again != 0 || outAgain != out {
			t.Errorf("%v -h differs from help", path)
		}
	}
	for _, e := range commands(streams{}) {
		visit(e.cmd.Name())
		if g, ok := e.cmd.(*group); ok {
			for _, c := range g.commands {
				visit(g.name, c.Name())
			}
		}
	}
}

// TestQuestionnaireCommands guards against mistakes that exit with success and
// positions that editors can't follow.
func TestQuestionnaireCommands(t *testing.T) {
	text := string(examples.UCAB)
	if status, out, _ := execute(text, "questionnaire", "check", "-"); status != 0 || out != "no mistakes\n" {
		t.Errorf("check: %d %q", status, out)
	}
	if status, out, _ := execute(text, "questionnaire", "generate", "-"); status != 0 || !strings.HasPrefix(out, "{") {
		t.Errorf("generate: %d %q", status, out)
	}
	wrong := strings.Replace(text, "region:", "regoin:", 1)
	for _, verb := range []string{"check", "generate"} {
		status, out, errOut := execute(wrong, "questionnaire", verb, "-")
		if status != 1 || out != "" || errOut != "-:8:1: regoin: unknown field \"regoin\" (did you mean \"region\"?)\n" {
			t.Errorf("%s: %d %q %q", verb, status, out, errOut)
		}
	}
	if status, _, errOut := execute("", "questionnaire", "check", "/nonexistent"); status != 1 || strings.Count(errOut, "\n") != 1 {
		t.Errorf("missing file: %d %q", status, errOut)
	}
}

// adminStub answers like an administration service.
type adminStub struct {
	admin.Admin
	inForce bool
}

func (a adminStub) status() *admin.Status {
	return &admin.Status{InForce: a.inForce, Explanation: "explanation"}
}

func (a adminStub) Apply(_ context.Context, req *admin.ApplyRequest) (*admin.ApplyResponse, error) {
	return &admin.ApplyResponse{Status: a.status(), Notices: []string{"a customer is gone"}}, nil
}

func (a adminStub) CreateKey(_ context.Context, req *admin.CreateKeyRequest) (*admin.CreateKeyResponse, error) {
	return &admin.CreateKeyResponse{Secret: "fsk_" + req.Customer + req.Team, Key: &admin.Key{Id: "key-1"}, Status: a.status()}, nil
}

func (a adminStub) RevokeKey(_ context.Context, req *admin.RevokeKeyRequest) (*admin.RevokeKeyResponse, error) {
	if req.Id != "key-1" {
		return nil, twirp.NotFound.Error("no such key")
	}
	return &admin.RevokeKeyResponse{Status: a.status()}, nil
}

func (a adminStub) ListKeys(_ context.Context, req *admin.ListKeysRequest) (*admin.ListKeysResponse, error) {
	return &admin.ListKeysResponse{Keys: []*admin.Key{{Id: "key-1", Customer: req.Customer, Revoked: true}}}, nil
}

// TestAdminCommands guards against commands that report success although a
// change is not in force, and secrets mixed with other output.
func TestAdminCommands(t *testing.T) {
	t.Setenv("FESCUESTEP_ADMIN_CREDENTIAL", credential)
	for _, inForce := range []bool{true, false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer "+credential {
				t.Error("the credential was not sent")
			}
			admin.NewAdminServer(adminStub{inForce: inForce}).ServeHTTP(w, r)
		}))
		defer server.Close()
		t.Setenv("FESCUESTEP_ADMIN", server.URL)
		want := map[bool]int{true: 0, false: 1}[inForce]
		if status, out, errOut := execute("", "key", "create", "-team", "web", "shops"); status != want || out != "fsk_shopsweb\n" || strings.Contains(errOut, "fsk_") {
			t.Errorf("create: %d %q %q", status, out, errOut)
		}
		if status, _, errOut := execute("", "key", "revoke", "key-1"); status != want || errOut != "explanation\n" {
			t.Errorf("revoke: %d %q", status, errOut)
		}
		if status, _, errOut := execute("", "key", "revoke", "key-2"); status != 1 || !strings.Contains(errOut, "no such key") {
			t.Errorf("revoke unknown: %d %q", status, errOut)
		}
		if status, _, errOut := execute(string(examples.UCAB), "questionnaire", "apply", "-"); status != want || !strings.Contains(errOut, "notice: a customer is gone") {
			t.Errorf("apply: %d %q", status, errOut)
		}
		if status, out, _ := execute("", "key", "list", "-customer", "shops"); status != 0 || !strings.Contains(out, "key-1  shops") {
			t.Errorf("list: %d %q", status, out)
		}
	}
}
