package commandline

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
	"rosemarygap/io/operator"

	"github.com/pkg/errors"
)

// SubmitCommand submits a job.
type SubmitCommand struct {
	Target
	WaitOptions
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
		return !row.Ended.IsZero() || row.State == worker.Parked, text, nil
	}
}

// CancelCommand cancels jobs.
type CancelCommand struct {
	Target
	IDs []string `arg:"positional,required" help:"ids of the jobs"`
}

// Run returns when the cancellations are durable. A job that can't be
// cancelled does not hold up the others.
func (c *CancelCommand) Run(w io.Writer) error {
	var failed error
	var all []operator.Cancelled
	for ids := range slices.Chunk(c.IDs, operator.MaxCancelled) {
		var out []operator.Cancelled
		err := c.call(http.MethodPost, "/api/cancellations", operator.CancelMessage{IDs: ids}, &out)
		if err != nil {
			return err
		}
		all = append(all, out...)
		progress("cancelled=%d of=%d", len(all), len(c.IDs))
	}
	for i := range all {
		if all[i].ErrorBody != nil {
			failed = all[i].Err()
		}
	}
	if err := printJSON(w, all); err != nil {
		return err
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
	fmt.Fprintln(t, "JOB\tTEAM\tCLASS\tSTATE\tATTEMPT\tEVICTIONS\tWORKER\tREASON")
	for _, j := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", plain(j.ID), j.Team, j.Class, j.State, j.Attempt, j.Evictions, j.Worker, j.Reason)
	}
	return errors.Wrap(t.Flush(), "write output")
}

// plain returns an id for a table: quoted, if a terminal would take a part of
// it for a command or the table for two cells.
func plain(id string) string {
	if q := strconv.Quote(id); q != `"`+id+`"` {
		return q
	}
	return id
}
