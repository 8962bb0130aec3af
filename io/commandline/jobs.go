package commandline

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"

	"github.com/pkg/errors"
)

// SubmitCommand submits a job.
type SubmitCommand struct {
	Target
	Waiting
	File string `arg:"positional,required" help:"path of the job as JSON"`
}

// Run prints the job when it is durable, or with --wait when it has ended. A
// job that ended otherwise than finished is refused with its state.
func (c *SubmitCommand) Run(w io.Writer) error {
	f, err := os.Open(c.File)
	if err != nil {
		return status.At(status.ErrNotFound, "file", c.File)
	}
	defer f.Close()
	var j worker.Job
	if err := wire.Decode(f, wire.MaxControlBody, &j); err != nil {
		return err
	}
	if err := j.Check(); err != nil {
		return err
	}
	if err := c.call(http.MethodPost, "/api/jobs", j, &j); err != nil {
		return err
	}
	if !c.Wait {
		return printJSON(w, j)
	}
	var row worker.JobRow
	if err := c.await(c.ended(j.ID, &row)); err != nil {
		return err
	}
	if err := printJSON(w, row); err != nil {
		return err
	}
	if row.State != worker.Finished {
		return status.At(status.ErrJobNotFinished, "state", string(row.State))
	}
	return nil
}

// ended polls until a job has ended, and copies its state to row.
func (c *SubmitCommand) ended(id string, row *worker.JobRow) func() (bool, string, error) {
	return func() (bool, string, error) {
		var rows []worker.JobRow
		if err := c.get("/api/jobs", &rows); err != nil {
			return false, "", err
		}
		for i := range rows {
			if rows[i].ID == id {
				*row = rows[i]
			}
		}
		text := fmt.Sprintf("job=%s state=%s attempt=%d reason=%s", id, row.State, row.Attempt, row.Reason)
		return !row.Ended.IsZero(), text, nil
	}
}

// CancelCommand cancels jobs.
type CancelCommand struct {
	Target
	IDs []string `arg:"positional,required" help:"ids of the jobs"`
}

// Run returns when the cancellations are durable. A job that can't be
// cancelled does not hold up the others; the last such error is returned, and
// those before it are written to the standard error.
func (c *CancelCommand) Run(io.Writer) error {
	var failed error
	for i, id := range c.IDs {
		err := c.call(http.MethodDelete, "/api/jobs/"+url.PathEscape(id), nil, nil)
		if err != nil {
			if failed != nil {
				reportError(os.Stderr, failed)
			}
			failed = status.At(err, "job", id)
		}
		if len(c.IDs) > 1 {
			progress("job=%s done=%d of=%d", id, i+1, len(c.IDs))
		}
	}
	return failed
}

// JobsCommand lists jobs.
type JobsCommand struct {
	Target
	JSON bool `arg:"--json,env:ROSEMARYGAP_JSON" help:"print JSON instead of a table"`
}

// Run prints all jobs.
func (c *JobsCommand) Run(w io.Writer) error {
	var rows []worker.JobRow
	if err := c.get("/api/jobs", &rows); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(w, rows)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "JOB\tTEAM\tCLASS\tSTATE\tATTEMPT\tWORKER\tREASON")
	for _, j := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", j.ID, j.Team, j.Class, j.State, j.Attempt, j.Worker, j.Reason)
	}
	return errors.Wrap(t.Flush(), "write output")
}
