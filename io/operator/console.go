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

// pageTemplates maps the name of each page of the console to its template,
// which includes the layout.
var pageTemplates = parseTemplates("overview", "config", "jobs", "workers", "events", "login")

func parseTemplates(names ...string) map[string]*template.Template {
	out := make(map[string]*template.Template, len(names))
	for _, n := range names {
		t := template.New(n).Funcs(template.FuncMap{"nav": func() []navLink { return navLinks }})
		out[n] = template.Must(t.ParseFS(consoleFiles,
			"console/layout.html", "console/fields.html", "console/"+n+".html"))
	}
	return out
}

// navLink is a link of the navigation bar to a page of the console.
type navLink struct{ Name, Path string }

var navLinks = []navLink{{"overview", "/"}, {"config", "/config"}, {"jobs", "/jobs"},
	{"workers", "/workers"}, {"events", "/events"}}

// page is the data for the template of a page.
type page struct {
	// Name identifies the page and its template.
	Name string
	// Entry is the id of this entry.
	Entry string
	// Revision is the revision of the configuration in force at this entry.
	Revision int64
	// SignedIn is true if the request is authorized to make changes.
	SignedIn bool
	// Refusal describes the error if a change was rejected or data for the
	// page could not be read.
	Refusal *ErrorResponse
	// Done is the code of the action that was performed, if any.
	Done string
	// Known lists the names that form fields may refer to.
	Known knownNames
	// Body is the data that is specific to the page.
	Body any
}

// knownNames lists the names that the configuration in force defines.
type knownNames struct {
	Services, Teams, Classes []string
}

func namesInConfig(a *core.AcceptedConfig) knownNames {
	var k knownNames
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

// registerConsole adds the routes of the console to e.
func (s *Server) registerConsole(e *echo.Echo) {
	e.GET("/style.css", serveStylesheet)
	e.GET("/", s.showOverview)
	e.GET("/config", s.showConfig)
	e.POST("/config", s.postConfig, limitFormSize)
	e.GET("/jobs", s.showJobs)
	e.POST("/jobs", s.postJob, limitFormSize)
	e.POST("/jobs/cancel", s.postCancel, limitFormSize)
	e.GET("/workers", s.showWorkers)
	e.POST("/workers/drain", s.postDrain, limitFormSize)
	e.POST("/workers/evacuate", s.postEvacuate, limitFormSize)
	e.GET("/events", s.showEvents)
	e.GET("/login", s.showLogin)
	e.POST("/login", s.postLogin, limitFormSize)
	e.POST("/logout", s.postLogout, limitFormSize)
}

// limitFormSize rejects forms that are larger than a control message.
func limitFormSize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, wire.MaxControlBody)
		err := r.ParseForm()
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return echo.ErrStatusRequestEntityTooLarge
		}
		if err != nil {
			return echo.ErrBadRequest
		}
		return next(c)
	}
}

func serveStylesheet(c echo.Context) error {
	b, err := consoleFiles.ReadFile("console/style.css")
	if err != nil {
		return errors.Wrap(err, "read stylesheet")
	}
	return c.Blob(http.StatusOK, "text/css; charset=utf-8", b)
}

// render writes a page. The response to a rejected POST has the status of the
// error. A GET whose data could not be read has the status 200, and the page shows
// the error along with the rest of its content.
func (s *Server) render(c echo.Context, p page) error {
	snap := s.control.Snapshot()
	p.Entry, p.Revision = s.control.Status().ID, snap.Revision()
	p.SignedIn = s.isAuthorized(c)
	p.Known = namesInConfig(snap.Config)
	code := http.StatusOK
	if p.Refusal != nil && c.Request().Method == http.MethodPost {
		code = status.HTTPStatusOf(p.Refusal.Err())
	}
	var b bytes.Buffer
	if err := pageTemplates[p.Name].ExecuteTemplate(&b, "layout", p); err != nil {
		return errors.Wrap(err, "render page")
	}
	return c.HTMLBlob(code, b.Bytes())
}

// errorResponse returns the description of err for a page, or nil if err is nil.
func errorResponse(err error) *ErrorResponse {
	if err == nil {
		return nil
	}
	return &ErrorResponse{ErrorBody: wire.ErrorBodyOf(err)}
}
