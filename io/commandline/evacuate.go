package commandline

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/worker"
	iooperator "rosemarygap/io/operator"

	"github.com/google/uuid"
)

// EvacuateCommand starts or ends the draining of all workers of an availability zone.
type EvacuateCommand struct {
	Target
	WaitOptions
	Zone string `arg:"positional,required" help:"availability zone"`
	Undo bool   `arg:"--undo" help:"end the draining of all workers of the zone, so that they get batch work again"`
}

// Run changes the configuration and prints it. With --wait it returns when no more
// jobs run on the workers of the zone.
func (c *EvacuateCommand) Run(w io.Writer) error {
	msg := iooperator.DrainRequest{Draining: !c.Undo, ChangeID: uuid.NewString()}
	var accepted operator.AcceptedConfig
	path := "/api/zones/" + url.PathEscape(c.Zone) + "/draining"
	if err := c.callEntry(http.MethodPut, path, msg, &accepted); err != nil {
		printErrorBody(w, err)
		return err
	}
	if c.Wait && !c.Undo {
		// Workers that go away stay in this list, as their jobs may run on.
		var workers []string
		poll := func() (bool, string, error) { return c.pollEvacuated(&workers) }
		if err := c.waitUntil(poll); err != nil {
			return err
		}
	}
	return printJSON(w, accepted)
}

// pollEvacuated reports whether no job runs on the workers of the zone, with the
// progress text. It adds the workers of the zone to workers.
func (c *EvacuateCommand) pollEvacuated(workers *[]string) (done bool, text string, err error) {
	var known []entry.Worker
	if err := c.get("/api/workers", &known); err != nil {
		return false, "", err
	}
	for _, k := range known {
		if k.Zone == c.Zone && !slices.Contains(*workers, k.ID) {
			*workers = append(*workers, k.ID)
		}
	}
	var rows []worker.JobRow
	if err := c.get("/api/jobs", &rows); err != nil {
		return false, "", err
	}
	running := 0
	for i := range rows {
		if rows[i].State == worker.Running && slices.Contains(*workers, rows[i].Worker) {
			running++
		}
	}
	return running == 0, fmt.Sprintf("zone=%s workers=%d running-jobs=%d", c.Zone, len(*workers), running), nil
}
