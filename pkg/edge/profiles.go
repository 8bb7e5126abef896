package edge

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
)

// ProfilesPath is the URL path below which profiles are served.
const ProfilesPath = "/debug/pprof/"

// serveProfiles adds the handlers of net/http/pprof. The command line is left out: it
// is no profile and may name files.
func serveProfiles(e *echo.Echo) {
	e.GET(ProfilesPath+"*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	e.GET(ProfilesPath+"cmdline", echo.NotFoundHandler)
	e.GET(ProfilesPath+"profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET(ProfilesPath+"trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
	e.Match([]string{http.MethodGet, http.MethodPost}, ProfilesPath+"symbol", echo.WrapHandler(http.HandlerFunc(pprof.Symbol)))
}
