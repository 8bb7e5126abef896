package relay

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/keys"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// privateHeaders carry a caller's credentials and are never sent to an upstream.
var privateHeaders = []string{"Authorization", "Cookie", "X-Api-Key"}

// internalHeaders are set only by the router or the upstream; they are removed
// from callers' requests and from responses to callers.
var internalHeaders = []string{
	engine.HeaderRequestID, engine.HeaderCacheSalt, engine.HeaderAdapter, engine.HeaderWeightsVersion,
	engine.HeaderPriority, engine.HeaderDeadline, engine.HeaderFencingToken, engine.HeaderResumeAfter,
	engine.HeaderIncarnation,
}

// forwardedHeaders returns the headers of a caller's request that are forwarded
// to a plain service. Any header that contains the caller's key is dropped too.
func forwardedHeaders(in http.Header) http.Header {
	out := withoutHopByHop(in)
	for _, name := range privateHeaders {
		out.Del(name)
	}
	for _, name := range internalHeaders {
		out.Del(name)
	}
	if secret, ok := keys.ParseBearer(in.Get("Authorization")); ok {
		deleteContaining(out, secret)
	}
	return out
}

func deleteContaining(h http.Header, secret string) {
	for name, values := range h {
		if strings.Contains(strings.Join(values, "\n"), secret) {
			delete(h, name)
		}
	}
}

func withoutHopByHop(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyResponseHeaders copies the headers of a service's response that may be
// returned to the caller.
func copyResponseHeaders(dst, src http.Header) {
	out := withoutHopByHop(src)
	out.Del("Set-Cookie") // callers' cookies are not forwarded either
	for _, name := range internalHeaders {
		out.Del(name)
	}
	for name, values := range out {
		dst[name] = values
	}
}
