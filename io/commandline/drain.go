package commandline

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"rosemarygap/core/operator"
	"rosemarygap/core/worker"
	iooperator "rosemarygap/io/operator"

	"github.com/google/uuid"
)

// DrainCommand starts or ends the draining of a worker, which gets no new batch
// work while it drains.
type DrainCommand struct {
	Target
	WaitOptions
	Worker string `arg:"positional,required" help:"id of the worker"`
	Undo   bool   `arg:"--undo" help:"end the draining, so that the worker gets batch work again"`
}

// Run changes the configuration and prints it. With --wait it returns when no
// more jobs run on the worker.
func (c *DrainCommand) Run(w io.Writer) error {
	msg := iooperator.DrainRequest{Draining: !c.Undo, ChangeID: uuid.NewString()}
	var accepted operator.AcceptedConfig
	path := "/api/workers/" + url.PathEscape(c.Worker) + "/draining"
	if err := c.callEntry(http.MethodPut, path, msg, &accepted); err != nil {
		printErrorBody(w, err)
		return err
	}
	if c.Wait && !c.Undo {
		if err := c.waitUntil(c.pollDrained); err != nil {
			return err
		}
	}
	return printJSON(w, accepted)
}

// pollDrained reports whether no job runs on the worker, with the progress text.
func (c *DrainCommand) pollDrained() (done bool, text string, err error) {
	var rows []worker.JobRow
	if err := c.get("/api/jobs", &rows); err != nil {
		return false, "", err
	}
	running := 0
	for i := range rows {
		if rows[i].Worker == c.Worker && rows[i].State == worker.Running {
			running++
		}
	}
	return running == 0, fmt.Sprintf("worker=%s running-jobs=%d", c.Worker, running), nil
}
