package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// postLogout removes the session cookie from the browser.
func (s *Server) postLogout(c echo.Context) error {
	c.SetCookie(&http.Cookie{Name: sessionCookie, Path: "/", MaxAge: -1,
		HttpOnly: true, SameSite: http.SameSiteStrictMode})
	return c.Redirect(http.StatusSeeOther, "/")
}
