package dispatch

import (
	"strconv"

	"github.com/zeebo/xxh3"

	"github.com/fescuestep/fescuestep/pkg/chain"
)

// fingerprint identifies requests that are alike: method, host, target, caller and body.
// It is the same at all instances. Each part is preceded by its length, so that no two
// requests run together to the same bytes.
func fingerprint(r *chain.Request) uint64 {
	h := xxh3.New()
	for _, text := range []string{r.HTTP.Method, r.HTTP.Host, r.HTTP.RequestURI, caller(r.Edge)} {
		_, _ = h.WriteString(strconv.Itoa(len(text)) + ":" + text) // never fails
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// caller returns the name of the customer, which may have several keys, or "" on public
// routes.
func caller(e *chain.Edge) string {
	if e.Customer == nil {
		return ""
	}
	return e.Customer.Name
}
