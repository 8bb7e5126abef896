package host

import (
	"net/http"
	"strings"
)

// HasCredentials reports whether headers carry a caller's credentials, which
// must never reach an upstream.
func HasCredentials(header http.Header) bool {
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key"} {
		if len(header.Values(name)) > 0 {
			return true
		}
	}
	return false
}

// PathHasPrefix reports whether path is prefix or below it.
func PathHasPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}
