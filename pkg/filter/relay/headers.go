package relay

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/engine"
	"github.com/fescuestep/fescuestep/pkg/keys"
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// private headers of callers never reach an upstream.
var private = []string{"Authorization", "Cookie", "X-Api-Key"}

// internal headers are set by the router or the upstream only.
var internal = []string{
	engine.HeaderRequestID, engine.HeaderCacheSalt, engine.HeaderAdapter, engine.HeaderWeightsVersion,
	engine.HeaderPriority, engine.HeaderDeadline, engine.HeaderFencingToken, engine.HeaderResumeAfter,
	engine.HeaderIncarnation,
}

// forwarded returns the headers of a caller's request that a plain service may
// see. A header that repeats the caller's key is dropped too.
func forwarded(in http.Header) http.Header {
	out := withoutHops(in)
	for _, name := range private {
		out.Del(name)
	}
	for _, name := range internal {
		out.Del(name)
	}
	if secret, ok := keys.ParseBearer(in.Get("Authorization")); ok {
		dropContaining(out, secret)
	}
	return out
}

func dropContaining(h http.Header, secret string) {
	for name, values := range h {
		if strings.Contains(strings.Join(values, "\n"), secret) {
			delete(h, name)
		}
	}
}

func withoutHops(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// copyAnswerHeaders copies what a caller may see of a service's answer.
func copyAnswerHeaders(dst, src http.Header) {
	out := withoutHops(src)
	out.Del("Set-Cookie") // cookies of callers are stripped as well
	for _, name := range internal {
		out.Del(name)
	}
	for name, values := range out {
		dst[name] = values
	}
}
