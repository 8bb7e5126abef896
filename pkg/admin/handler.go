package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/keys"
	"github.com/fescuestep/fescuestep/pkg/questionnaire"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// maxBody allows for a questionnaire of the largest size in which JSON
// escapes every second byte.
const maxBody = questionnaire.MaxBytes*3/2 + 64<<10

// Handler returns the handler of the administration listener. Requests
// without the credential are refused before their body is read. It panics
// when the credential is empty, because then everyone would be let in.
func Handler(s *Service, credential string) http.Handler {
	if credential == "" {
		panic("admin: no credential")
	}
	server := admin.NewAdminServer(s)
	mux := http.NewServeMux()
	mux.Handle(server.PathPrefix(), limitBody(server))
	return authenticate(mux, sha256.Sum256([]byte(credential)))
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// authenticate compares digests, so that the time of the comparison depends
// neither on the credential nor on its length.
func authenticate(next http.Handler, want [sha256.Size]byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := keys.ParseBearer(r.Header.Get("Authorization"))
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !ok {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("the administration credential is missing or wrong; send it in the header Authorization: Bearer"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
