package route

import (
	"bytes"
	"net/url"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/keys"
)

// minSecretBytes is the length in bytes below which a bearer token is no key, so that
// a short token of an open route's caller doesn't match by chance.
const minSecretBytes = 16

// rejectKeyCopies refuses a request that repeats its key where the router
// forwards the text unchanged: in the path, the query or the body. Headers are
// filtered by the relay.
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
