// Package keys creates API keys, parses them from requests and looks them up in
// a configuration snapshot. A secret appears only in the response that returns
// the new key to the operator and in callers' requests; the configuration stores
// its SHA-256 digest.
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

// Prefix starts every secret, so that secret scanners can detect leaked ones in
// repositories and logs.
const Prefix = "fsk_"

const (
	secretBytes = 32 // the digest's length, so that guessing a secret is no easier than finding a preimage
	idBytes     = 8  // IDs must be unique but need not be secret
)

// secretLength is the length of a secret in bytes, including Prefix.
var secretLength = len(Prefix) + base64.RawURLEncoding.EncodedLen(secretBytes)

// Create returns a new random secret and the key that stores its digest. The
// secret is shown to the operator once and must not be stored or logged. The
// key's ID is independent of the secret.
func Create(customer, team string, now time.Time) (secret string, key config.Key) {
	var random [secretBytes + idBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	secret = Prefix + base64.RawURLEncoding.EncodeToString(random[:secretBytes])
	return secret, config.Key{
		ID:       "key-" + hex.EncodeToString(random[secretBytes:]),
		Digest:   config.DigestOf(secret),
		Customer: customer,
		Team:     team,
		Created:  now.UTC().Truncate(time.Second),
	}
}

// ParseBearer returns the token of an "Authorization: Bearer" header value, or
// false if the value has another scheme or no single token.
// The scheme is case-insensitive (RFC 9110, section 11.1).
func ParseBearer(header string) (token string, ok bool) {
	scheme, token, _ := strings.Cut(header, " ")
	token = strings.TrimLeft(token, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" || strings.ContainsAny(token, " \t,") {
		return "", false
	}
	return token, true
}

// Lookup returns the key that the secret belongs to, revoked or not, or nil if
// there is none. For a well-formed secret, its running time depends only on the
// digest, so timing reveals nothing about other secrets.
func Lookup(s *config.Snapshot, secret string) *config.Key {
	if len(secret) != secretLength || !strings.HasPrefix(secret, Prefix) {
		return nil
	}
	digest := config.DigestOf(secret)
	key := s.Keys[digest]
	if key == nil || subtle.ConstantTimeCompare(key.Digest[:], digest[:]) != 1 {
		return nil
	}
	return key
}

// Authenticate returns the key in the request's Authorization header and the
// customer that owns it. The error is a *code.Error and never contains the
// secret. A key whose customer is no longer in the snapshot is rejected as
// unknown.
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
