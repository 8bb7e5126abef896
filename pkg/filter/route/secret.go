package route

import (
	"bytes"
	"net/url"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/keys"
)

// minSecretBytes is the length below which a bearer token is not checked as a key.
// Callers of open routes may send short tokens, which could occur in the request
// by chance.
const minSecretBytes = 16

// rejectKeyCopies returns an error if the request repeats its key where the
// router forwards the text unchanged: in the path, the query or the body. The
// relay filters headers.
func rejectKeyCopies(r *chain.Request) error {
	secret, ok := keys.ParseBearer(r.HTTP.Header.Get("Authorization"))
	if !ok || len(secret) < minSecretBytes {
		return nil
	}
	query, err := url.QueryUnescape(r.HTTP.URL.RawQuery)
	if err != nil {
		query = r.HTTP.URL.RawQuery
	}
	if strings.Contains(r.UpstreamPath, secret) || strings.Contains(query, secret) || bytes.Contains(r.Body, []byte(secret)) {
		return code.New(code.BadRequest, "the request repeats its key outside the Authorization header; no upstream may see a key")
	}
	return nil
}
