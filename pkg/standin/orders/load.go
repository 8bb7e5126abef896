package orders

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

// Leave makes load reports say that the server is leaving. It goes on serving.
func (s *Server) Leave() { s.leaving.Store(true) }

// count follows the number of requests being handled.
func (s *Server) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.running.Add(1)
		defer s.running.Add(-1)
		return next(c)
	}
}

func (s *Server) handleLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, engine.LoadReport{
		Incarnation: s.incarnation,
		Running:     int(s.running.Load()),
		Leaving:     s.leaving.Load(),
	})
}
