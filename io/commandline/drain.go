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

// DrainCommand keeps further batch work off a worker.
type DrainCommand struct {
	Target
	WaitOptions
	Worker string `arg:"positional,required" help:"id of the worker"`
	Undo   bool   `arg:"--undo" help:"admit batch work again"`
}

// Run changes the configuration and prints it. With --wait it returns when no
// job runs on the worker any more.
func (c *DrainCommand) Run(w io.Writer) error {
	m := iooperator.DrainMessage{Draining: !c.Undo, ChangeID: uuid.NewString()}
	var done operator.AcceptedConfig
	path := "/api/workers/" + url.PathEscape(c.Worker) + "/draining"
	if err := c.call(http.MethodPut, path, m, &done); err != nil {
		printRefusal(w, err)
		return err
	}
	if c.Wait && !c.Undo {
		if err := c.await(c.drained); err != nil {
			return err
		}
	}
	return printJSON(w, done)
}

// drained reports whether no job runs on the worker.
func (c *DrainCommand) drained() (done bool, text string, err error) {
	var rows []worker.JobRow
	if err := c.get("/api/jobs", &rows); err != nil {
		return false, "", err
	}
	n := 0
	for i := range rows {
		if rows[i].Worker == c.Worker && rows[i].State == worker.Running {
			n++
		}
	}
	return n == 0, fmt.Sprintf("worker=%s running-jobs=%d", c.Worker, n), nil
}
