package operator

import (
	"bytes"
	"embed"
	"html/template"
	"net/http"

	core "rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

//go:embed console
var consoleFiles embed.FS

// pages are the templates of the console, each with the layout.
var pages = parsePages("overview", "config", "jobs", "workers", "events", "login")

func parsePages(names ...string) map[string]*template.Template {
	out := make(map[string]*template.Template, len(names))
	for _, n := range names {
		t := template.New(n).Funcs(template.FuncMap{"nav": func() []link { return links }})
		out[n] = template.Must(t.ParseFS(consoleFiles,
			"console/layout.html", "console/fields.html", "console/"+n+".html"))
	}
	return out
}

// link leads to a page of the console.
type link struct{ Name, Path string }

var links = []link{{"overview", "/"}, {"config", "/config"}, {"jobs", "/jobs"},
	{"workers", "/workers"}, {"events", "/events"}}

// page is what every page of the console shows.
type page struct {
	// Name is the page's code.
	Name  string
	Entry string
	// Revision is the one in force at this entry.
	Revision int64
	// SignedIn is true if changes are allowed.
	SignedIn bool
	// Refusal is the last change's, if it was refused.
	Refusal *ErrorResponse
	// Done is the code of what the last change did, if it took effect.
	Done string
	// Known are values that fields may refer to.
	Known known
	// Body is what the page alone shows.
	Body any
}

// known lists the names in the configuration in force.
type known struct {
	Services, Teams, Classes []string
}

func knownNames(a *core.AcceptedConfig) known {
	var k known
	if a == nil {
		return k
	}
	for _, s := range a.Document.Services {
		k.Services = append(k.Services, s.Name)
	}
	for _, t := range a.Document.Teams {
		k.Teams = append(k.Teams, t.Name)
	}
	for _, b := range a.Document.Classes {
		k.Classes = append(k.Classes, b.Name)
	}
	return k
}

// addConsole adds the pages of the console to e.
func (s *Server) addConsole(e *echo.Echo) {
	e.GET("/style.css", serveStyle)
	e.GET("/", s.showOverview)
	e.GET("/config", s.showConfig)
	e.POST("/config", s.postConfig, limitForm)
	e.GET("/jobs", s.showJobs)
	e.POST("/jobs", s.postJob, limitForm)
	e.POST("/jobs/cancel", s.postCancel, limitForm)
	e.GET("/workers", s.showWorkers)
	e.POST("/workers/drain", s.postDrain, limitForm)
	e.GET("/events", s.showEvents)
	e.GET("/login", s.showLogin)
	e.POST("/login", s.postLogin, limitForm)
	e.POST("/logout", s.postLogout, limitForm)
}

// limitForm refuses a form that is larger than a control message.
func limitForm(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		q := c.Request()
		q.Body = http.MaxBytesReader(c.Response(), q.Body, wire.MaxControlBody)
		err := q.ParseForm()
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return echo.ErrStatusRequestEntityTooLarge
		}
		if err != nil {
			return echo.ErrBadRequest
		}
		return next(c)
	}
}

func serveStyle(c echo.Context) error {
	b, err := consoleFiles.ReadFile("console/style.css")
	if err != nil {
		return errors.Wrap(err, "read style")
	}
	return c.Blob(http.StatusOK, "text/css; charset=utf-8", b)
}

// render answers a page. After a change its status is that of the refusal, if
// there is one; a page that is only shown says what it lacks.
func (s *Server) render(c echo.Context, p page) error {
	snap := s.control.Snapshot()
	p.Entry, p.Revision = s.control.Status().ID, snap.Revision()
	p.SignedIn = s.mayChange(c)
	p.Known = knownNames(snap.Config)
	code := http.StatusOK
	if p.Refusal != nil && c.Request().Method == http.MethodPost {
		code = status.HTTPStatusOf(p.Refusal.Err())
	}
	var b bytes.Buffer
	if err := pages[p.Name].ExecuteTemplate(&b, "layout", p); err != nil {
		return errors.Wrap(err, "render page")
	}
	return c.HTMLBlob(code, b.Bytes())
}

// refused describes err for a page; nil if there is none.
func refused(err error) *ErrorResponse {
	if err == nil {
		return nil
	}
	return &ErrorResponse{ErrorBody: wire.ErrorBodyOf(err)}
}
