package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

func (s *Server) showLogin(c echo.Context) error {
	return s.render(c, page{Name: "login"})
}

// postLogin sets the session cookie if the form has the right token.
func (s *Server) postLogin(c echo.Context) error {
	if s.token != "" && !secretsEqual(c.FormValue("token"), s.token) {
		return s.render(c, page{Name: "login", Refusal: errorResponse(s.rejectUnauthorized(c.Request()))})
	}
	c.SetCookie(&http.Cookie{Name: sessionCookie, Value: sessionValue(s.token), Path: "/",
		HttpOnly: true, SameSite: http.SameSiteStrictMode})
	return c.Redirect(http.StatusSeeOther, "/")
}
