package keys

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func snapshot(keys ...config.Key) *config.Snapshot {
	d := &config.Deployment{Name: "d", Customers: []config.Customer{{ID: "shops"}}}
	list := make([]*config.Key, len(keys))
	for i := range keys {
		list[i] = &keys[i]
	}
	return config.Restore(1, []*config.Deployment{d}, list, config.Membership{})
}

// TestCreate guards against secrets that repeat, have the wrong length or
// appear in the stored form of their key.
func TestCreate(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		secret, key := Create("shops", "web", now)
		if seen[secret] || seen[key.ID] || len(secret) != secretLength || !strings.HasPrefix(secret, Prefix) {
			t.Fatalf("bad or repeated secret of %d characters, key %+v", len(secret), key)
		}
		seen[secret], seen[key.ID] = true, true
		stored, err := json.Marshal(key)
		if err != nil || strings.Contains(string(stored), secret[len(Prefix):]) {
			t.Fatalf("stored form: %s, %v", stored, err)
		}
	}
}

// TestAuthenticate guards against accepting a request with a missing, unknown,
// revoked or ambiguous key, and against errors that contain the secret.
func TestAuthenticate(t *testing.T) {
	secret, key := Create("shops", "", now)
	revokedSecret, revoked := Create("shops", "", now)
	revoked.Revoked = true
	orphanSecret, orphan := Create("gone", "", now)
	s := snapshot(key, revoked, orphan)
	for _, c := range []struct {
		headers []string
		want    code.Code // 0 if the request is accepted
	}{
		{[]string{"Bearer " + secret}, 0},
		{[]string{"bearer  " + secret}, 0},
		{nil, code.KeyMissing},
		{[]string{""}, code.KeyMissing},
		{[]string{"Bearer"}, code.KeyMissing},
		{[]string{"Basic " + secret}, code.KeyMissing},
		{[]string{secret}, code.KeyMissing},
		{[]string{"Bearer " + secret + " x"}, code.KeyMissing},
		{[]string{"Bearer " + secret, "Bearer " + secret}, code.BadRequest},
		{[]string{"Bearer " + secret + "x"}, code.KeyUnknown},
		{[]string{"Bearer " + secret[:len(secret)-1]}, code.KeyUnknown},
		{[]string{"Bearer " + strings.ToUpper(secret)}, code.KeyUnknown},
		{[]string{"Bearer " + strings.Repeat("x", 1<<20)}, code.KeyUnknown},
		{[]string{"Bearer " + revokedSecret}, code.KeyRevoked},
		{[]string{"Bearer " + orphanSecret}, code.KeyUnknown},
	} {
		got, customer, err := Authenticate(s, http.Header{"Authorization": c.headers})
		var rejection *code.Error
		if !errors.As(err, &rejection) {
			if c.want != 0 || got.ID != key.ID || customer.ID != "shops" {
				t.Errorf("%.60q: accepted as %+v, want %d", c.headers, got, c.want)
			}
			continue
		}
		if rejection.Code != c.want || rejection.Run != code.NotRun || strings.Contains(err.Error(), secret[len(Prefix):]) {
			t.Errorf("%.60q: %v, want %d", c.headers, err, c.want)
		}
	}
}

// FuzzParseBearer guards against panics and against tokens that are empty or
// contain a delimiter (space, tab or comma).
func FuzzParseBearer(f *testing.F) {
	f.Add("Bearer abc")
	f.Add("bearer  a,b")
	f.Add(" ")
	f.Fuzz(func(t *testing.T, header string) {
		token, ok := ParseBearer(header)
		if ok && (token == "" || strings.ContainsAny(token, " ,\t")) {
			t.Errorf("%q gives token %q", header, token)
		}
	})
}
