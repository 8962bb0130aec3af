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
	File string `arg:"positional,required" help:"path of the JSON file of the job"`
}

// Run prints the job once it is stored durably, or with --wait once it has ended
// or is parked. If it is then not in the state finished, Run returns
// status.ErrJobNotFinished with the state.
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
	if err := c.callEntry(http.MethodPost, "/api/jobs", j, &j); err != nil {
		return err
	}
	if !c.Wait {
		return printJSON(w, j)
	}
	var row worker.JobRow
	if err := c.waitUntil(c.pollEnded(j.ID, &row)); err != nil {
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

// pollEnded returns a poll function that copies the state of a job to row and
// reports whether the job has ended or is parked.
func (c *SubmitCommand) pollEnded(id string, row *worker.JobRow) func() (bool, string, error) {
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

// Run returns once the cancellations are stored durably. A job that can't be
// cancelled does not prevent the cancellation of the others.
func (c *CancelCommand) Run(w io.Writer) error {
	var lastErr error
	var all []operator.CancelResult
	for ids := range slices.Chunk(c.IDs, operator.MaxCancelIDs) {
		var out []operator.CancelResult
		err := c.callEntry(http.MethodPost, "/api/cancellations", operator.CancelRequest{IDs: ids}, &out)
		if err != nil {
			return err
		}
		all = append(all, out...)
		printProgress("cancelled=%d of=%d", countCancelled(all), len(c.IDs))
	}
	for i := range all {
		if all[i].ErrorBody != nil {
			lastErr = all[i].Err()
		}
	}
	if err := printJSON(w, all); err != nil {
		return err
	}
	return lastErr
}

// countCancelled returns the number of jobs that were cancelled.
func countCancelled(all []operator.CancelResult) int {
	n := 0
	for i := range all {
		if all[i].ErrorBody == nil {
			n++
		}
	}
	return n
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
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", quoteUnsafe(j.ID), j.Team, j.Class, j.State, j.Attempt, j.Evictions, j.Worker, j.Reason)
	}
	return errors.Wrap(t.Flush(), "write output")
}

// quoteUnsafe returns id for output in a table. It quotes an id with characters
// that a terminal could interpret as a control sequence or tabwriter as a cell
// boundary.
func quoteUnsafe(id string) string {
	if q := strconv.Quote(id); q != `"`+id+`"` {
		return q
	}
	return id
}
