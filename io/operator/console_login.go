package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

func (s *Server) showLogin(c echo.Context) error {
	return s.render(c, page{Name: "login"})
}

// postLogin gives a browser that sends the token a cookie for its session.
func (s *Server) postLogin(c echo.Context) error {
	if s.token != "" && !same(c.FormValue("token"), s.token) {
		return s.render(c, page{Name: "login", Refusal: refused(s.unauthorized(c.Request()))})
	}
	c.SetCookie(&http.Cookie{Name: sessionCookie, Value: session(s.token), Path: "/",
		HttpOnly: true, SameSite: http.SameSiteStrictMode})
	return c.Redirect(http.StatusSeeOther, "/")
}
