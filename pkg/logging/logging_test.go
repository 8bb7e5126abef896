package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/keys"
)

// TestKeysAreMasked guards against API keys and bearer tokens in log output,
// whether they come from the message, a field or an error.
func TestKeysAreMasked(t *testing.T) {
	secret, _ := keys.Create("shops", "", time.Unix(0, 0))
	for _, asJSON := range []bool{true, false} {
		var out bytes.Buffer
		log := New(Options{Name: "r1", Level: "info", JSON: asJSON, Output: &out})
		log.Info("key "+secret, "header", "Bearer 0123456789abcdef==", "error", errors.Newf("bad header %q", secret))
		log.Debug("below the level")
		text := out.String()
		if strings.Contains(text, secret[8:]) || strings.Contains(text, "0123456789abcdef") || strings.Contains(text, "below") {
			t.Errorf("logged: %s", text)
		}
		if strings.Count(text, "[redacted]") != 3 || strings.Count(text, "\n") != 1 {
			t.Errorf("logged: %s", text)
		}
		if asJSON && !json.Valid(out.Bytes()) {
			t.Errorf("not JSON: %s", text)
		}
	}
}
