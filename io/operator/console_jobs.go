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

// maxJobsShown is the maximum number of rows on the jobs page. GET /api/jobs
// returns all jobs.
const maxJobsShown = 200

// jobsBody is the template data of the jobs page.
type jobsBody struct {
	Jobs  []worker.JobRow
	Total int
	// State restricts the list to the jobs in this state, unless it is empty.
	State  string
	States []worker.State
	Form   fieldset
}

func (s *Server) showJobs(c echo.Context) error {
	form, err := valueToForm(worker.Job{Need: worker.Resources{Processors: 1000, Memory: 1024, Slots: 1}})
	if err != nil {
		return errors.Wrap(err, "create job form")
	}
	return s.renderJobs(c, form, nil, "")
}

func (s *Server) renderJobs(c echo.Context, form url.Values, r *ErrorResponse, done string) error {
	rows, err := s.control.Jobs(c.Request().Context())
	if err != nil && r == nil {
		r = errorResponse(err)
	}
	body := jobsBody{State: c.QueryParam("state"), Total: len(rows),
		States: []worker.State{worker.Queued, worker.Running, worker.Finished, worker.Cancelled, worker.Parked}}
	if body.State != "" {
		rows = slices.DeleteFunc(rows, func(j worker.JobRow) bool { return string(j.State) != body.State })
	}
	slices.SortStableFunc(rows, func(a, b worker.JobRow) int { return b.Submitted.Compare(a.Submitted) })
	body.Jobs = rows[:min(len(rows), maxJobsShown)]
	builder := &formBuilder{form: form}
	if r != nil && r.Path != "" {
		builder.faults = []core.Fault{{Code: r.Code, Path: r.Path, Value: r.Value}}
	}
	body.Form = builder.fieldset(reflect.TypeFor[worker.Job](), "", "job")
	return s.render(c, page{Name: "jobs", Refusal: r, Done: done, Body: body})
}

// jobFromForm decodes a job from a form.
func jobFromForm(form url.Values) (worker.Job, error) {
	var j worker.Job
	b, err := json.Marshal(formToTree(form, reflect.TypeFor[worker.Job](), ""))
	if err != nil {
		return j, errors.Wrap(err, "encode job")
	}
	return j, wire.Unmarshal(b, &j)
}
