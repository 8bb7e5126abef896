package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"strconv"

	"github.com/fescuestep/fescuestep/pkg/call"
	"github.com/fescuestep/fescuestep/pkg/chain"
	"github.com/fescuestep/fescuestep/pkg/quarantine"
)

// fingerprint identifies requests that are alike: method, host, target, caller and body.
// It is the same at all instances and after restarts, so it has no key of a process; the
// hash is a cryptographic one, so that no caller can make a request that ends upstreams
// look like one of another customer.
func fingerprint(r *chain.Request) uint64 {
	h := sha256.New()
	writeField(h, r.HTTP.Method)
	writeField(h, r.HTTP.Host)
	writeField(h, r.HTTP.RequestURI)
	writeField(h, caller(r.Edge))
	_, _ = h.Write(r.Body) // never fails
	return sum64(h)
}

// promptFingerprint identifies requests that are alike and have the same prompt, which is
// stated in headers.
func promptFingerprint(request uint64, c *call.Request) uint64 {
	h := sha256.New()
	writeField(h, strconv.FormatUint(request, 16))
	writeField(h, c.Model)
	for _, part := range c.PromptParts {
		writeField(h, part.ID)
	}
	return sum64(h)
}

// sum64 returns the first 64 bits of a hash: finding a second request with the same ones
// takes 2^64 tries.
func sum64(h hash.Hash) uint64 { return binary.BigEndian.Uint64(h.Sum(nil)) }

// writeField adds a text with its length, so that no two sequences of texts run together
// to the same bytes.
func writeField(h hash.Hash, text string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(text))+":"+text) // never fails
}

// caller returns the name of the customer, which may have several keys, or "" on public
// routes.
func caller(e *chain.Edge) string {
	if e.Customer == nil {
		return ""
	}
	return e.Customer.Name
}

// maxSharedParts bounds the shared parts of a prompt that count, each with its model and
// without, besides two for the whole request.
const maxSharedParts = (quarantine.MaxParts - 2) / 2

// crashParts returns the parts of the request at which upstreams may end: the whole
// request, the parts that its prompt shares with others, each for any model and then for
// the prompt's own, and the whole request with its prompt. Of two that explain the same
// crashes the later one is blamed. The whole request comes first, since the bodies of
// prompts may all be alike.
func (x *exchange) crashParts() []quarantine.Part {
	if x.parts != nil {
		return x.parts
	}
	request := fingerprint(x.r)
	x.parts = append(x.parts, quarantine.Part(request))
	c := &x.edge.Call
	shared := x.sharedParts()
	for _, part := range shared[:min(len(shared), maxSharedParts)] {
		x.parts = append(x.parts, quarantine.PartOfAnyModel(part.ID), quarantine.PartOf(c.Model, part.ID))
	}
	if len(c.PromptParts) > 0 {
		x.parts = append(x.parts, quarantine.Part(promptFingerprint(request, c)))
	}
	return x.parts
}
