package operator

import (
	"encoding/json"
	"net/url"
	"reflect"
	"slices"

	"rosemarygap/core/wire"
	"rosemarygap/core/worker"

	core "rosemarygap/core/operator"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// maxJobsShown bounds the rows of the jobs page; the interface lists all.
const maxJobsShown = 200

// jobsBody is what the jobs page shows.
type jobsBody struct {
	Jobs  []worker.JobRow
	Total int
	// State is the only state that is shown, if one was chosen.
	State  string
	States []worker.State
	Form   fieldset
}

func (s *Server) showJobs(c echo.Context) error {
	form, err := formOf(worker.Job{Need: worker.Resources{Processors: 1000, Memory: 1024, Slots: 1}})
	if err != nil {
		return errors.Wrap(err, "show jobs")
	}
	return s.renderJobs(c, form, nil, "")
}

func (s *Server) renderJobs(c echo.Context, form url.Values, r *ErrorResponse, done string) error {
	rows, err := s.control.Jobs(c.Request().Context())
	if err != nil && r == nil {
		r = refused(err)
	}
	body := jobsBody{State: c.QueryParam("state"), Total: len(rows),
		States: []worker.State{worker.Queued, worker.Running, worker.Finished, worker.Cancelled, worker.Parked}}
	if body.State != "" {
		rows = slices.DeleteFunc(rows, func(j worker.JobRow) bool { return string(j.State) != body.State })
	}
	slices.SortStableFunc(rows, func(a, b worker.JobRow) int { return b.Submitted.Compare(a.Submitted) })
	body.Jobs = rows[:min(len(rows), maxJobsShown)]
	v := &formView{form: form}
	if r != nil && r.Path != "" {
		v.faults = []core.Fault{{Code: r.Code, Path: r.Path, Value: r.Value}}
	}
	body.Form = v.fieldset(reflect.TypeFor[worker.Job](), "", "job")
	return s.render(c, page{Name: "jobs", Refusal: r, Done: done, Body: body})
}

// jobOf reads a job from a form.
func jobOf(form url.Values) (worker.Job, error) {
	var j worker.Job
	b, err := json.Marshal(treeOfForm(form, reflect.TypeFor[worker.Job](), ""))
	if err != nil {
		return j, errors.Wrap(err, "encode job")
	}
	return j, wire.Unmarshal(b, &j)
}
