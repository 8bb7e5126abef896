// Package keys creates callers' keys, reads them from requests and looks them
// up in a snapshot. Secrets exist only in the answer to the operator and in
// callers' requests; the configuration holds their SHA-256 digests.
package keys

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
)

// Prefix marks secrets so that scanners find them in repositories and logs.
const Prefix = "fsk_"

const (
	secretBytes = 32 // as many as the digest, so that guessing is no easier than a preimage
	idBytes     = 8  // IDs need to be unique, not secret
)

// length of a secret in characters.
var length = len(Prefix) + base64.RawURLEncoding.EncodedLen(secretBytes)

// Create returns a new secret and its key. The secret is shown once and must
// not be stored or logged. The key's ID is independent of the secret.
func Create(customer, team string, now time.Time) (secret string, key config.Key) {
	var random [secretBytes + idBytes]byte
	_, _ = rand.Read(random[:]) // never fails, see crypto/rand
	secret = Prefix + base64.RawURLEncoding.EncodeToString(random[:secretBytes])
	return secret, config.Key{
		ID:       "key-" + hex.EncodeToString(random[secretBytes:]),
		Digest:   config.DigestOf(secret),
		Customer: customer,
		Team:     team,
		Created:  now.UTC().Truncate(time.Second),
	}
}

// ParseBearer returns the token of an "Authorization: Bearer" header value.
// The scheme is case-insensitive (RFC 9110, section 11.1).
func ParseBearer(header string) (token string, ok bool) {
	scheme, token, _ := strings.Cut(header, " ")
	token = strings.TrimLeft(token, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" || strings.ContainsAny(token, " \t,") {
		return "", false
	}
	return token, true
}

// Lookup returns the key with the secret, revoked or not, or nil. The time it
// takes depends on the secret only through its digest, from which nothing
// about other secrets follows.
func Lookup(s *config.Snapshot, secret string) *config.Key {
	if len(secret) != length || !strings.HasPrefix(secret, Prefix) {
		return nil
	}
	digest := config.DigestOf(secret)
	key := s.Keys[digest]
	if key == nil || subtle.ConstantTimeCompare(key.Digest[:], digest[:]) != 1 {
		return nil
	}
	return key
}

// Authenticate returns the key that the request carries and its customer. The
// error is a *code.Error and never contains the secret. A key of a customer
// that the questionnaire no longer names counts as unknown.
func Authenticate(s *config.Snapshot, header http.Header) (*config.Key, *config.Customer, error) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return nil, nil, code.New(code.KeyMissing, "send the key in the header Authorization: Bearer")
	}
	if len(values) > 1 {
		return nil, nil, code.New(code.BadRequest, "the request has more than one Authorization header")
	}
	secret, ok := ParseBearer(values[0])
	if !ok {
		return nil, nil, code.New(code.KeyMissing, "the Authorization header is not of the form Bearer <key>")
	}
	key := Lookup(s, secret)
	if key == nil {
		return nil, nil, code.New(code.KeyUnknown, "the key is not known")
	}
	if key.Revoked {
		return nil, nil, code.New(code.KeyRevoked, "key %s has been revoked", key.ID)
	}
	customer := s.Customer(key.Customer)
	if customer == nil {
		return nil, nil, code.New(code.KeyUnknown, "the customer of key %s no longer exists", key.ID)
	}
	return key, customer, nil
}
