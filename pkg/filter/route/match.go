package route

import (
	"net/http"
	"path"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/config"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// Paths of the model API.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	ModelsPath     = "/v1/models"
)

// MatchResult is what a request's method and path match.
type MatchResult struct {
	ModelList   bool                // request for the list of models
	Kind        prompt.Kind         // for model requests
	Application *config.Application // nil for the model API, where the body names the model
	Route       *config.Route       // route of a plain service, else nil
	Path        string              // path of the upstream request
}

// Match matches a request by method and path only. Its error is a *code.Error
// with code UnknownRoute or MethodNotAllowed.
func Match(s *config.Snapshot, req *http.Request) (MatchResult, error) {
	switch req.URL.Path {
	case ChatPath:
		return MatchResult{Kind: prompt.Chat, Path: ChatPath}, checkMethod(req, http.MethodPost)
	case CompletionPath:
		return MatchResult{Kind: prompt.Completion, Path: CompletionPath}, checkMethod(req, http.MethodPost)
	case ModelsPath:
		return MatchResult{ModelList: true, Path: ModelsPath}, checkMethod(req, http.MethodGet)
	}
	return matchService(s, req)
}

// IsOpenRoute reports whether the request matches a route that is configured to
// need no key.
func IsOpenRoute(s *config.Snapshot, req *http.Request) bool {
	t, err := Match(s, req)
	return err == nil && t.Route != nil && t.Route.Open
}

func checkMethod(req *http.Request, method string) error {
	if req.Method == method {
		return nil
	}
	return code.New(code.MethodNotAllowed, "%s takes %s only", req.URL.Path, method)
}

// matchService finds the route with the longest matching path prefix. Paths that
// an upstream could resolve to another route (dot segments, repeated or escaped
// slashes) match nothing, because the prefix decides whether a key is needed.
func matchService(s *config.Snapshot, req *http.Request) (MatchResult, error) {
	unknown := code.New(code.UnknownRoute, "no route matches %s", req.URL.Path)
	if !isCanonicalPath(req) {
		return MatchResult{}, unknown
	}
	id, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	app := s.Application(id)
	if app == nil || app.Kind != config.Service {
		return MatchResult{}, unknown
	}
	rest = "/" + rest
	var best *config.Route
	otherMethod := false
	for i := range app.Routes {
		route := &app.Routes[i]
		if !hasPathPrefix(rest, route.Path) {
			continue
		}
		if route.Method != req.Method {
			otherMethod = true
			continue
		}
		if best == nil || len(route.Path) > len(best.Path) {
			best = route
		}
	}
	if best != nil {
		return MatchResult{Application: app, Route: best, Path: rest}, nil
	}
	if otherMethod {
		return MatchResult{}, code.New(code.MethodNotAllowed, "%s does not take %s", req.URL.Path, req.Method)
	}
	return MatchResult{}, unknown
}

func isCanonicalPath(req *http.Request) bool {
	p := req.URL.Path
	if req.URL.RawPath != "" || strings.ContainsAny(p, "\\;") {
		return false
	}
	return path.Clean(p) == p || path.Clean(p)+"/" == p
}

func hasPathPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return p == prefix || strings.HasPrefix(p, prefix+"/")
}
