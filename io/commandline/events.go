package commandline

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/io/operator"

	"github.com/pkg/errors"
)

// EventsCommand shows recent events of one entry.
type EventsCommand struct {
	Target
	Follow  bool   `arg:"-f,--follow" help:"go on with new events until interrupted"`
	JSON    bool   `arg:"--json,env:ROSEMARYGAP_JSON" help:"print one JSON object a line instead of text"`
	Number  int    `arg:"--event" default:"0" help:"only events with this number; 0 for all"`
	Job     string `arg:"--job" help:"only events of this job"`
	Worker  string `arg:"--worker" help:"only events of this worker"`
	Service string `arg:"--service" help:"only events of this service"`
	After   int64  `arg:"--after" default:"0" help:"only events with a higher seq"`
}

// Run prints the events, oldest first.
func (c *EventsCommand) Run(w io.Writer) error {
	f := operator.Filter{After: c.After, Number: c.Number, Job: c.Job, Worker: c.Worker, Service: c.Service}
	for {
		rows, err := c.page(f)
		if err != nil && !(c.Follow && errors.Is(err, status.ErrUnreachable)) {
			return err
		}
		for i := range rows {
			if err := c.print(w, &rows[i]); err != nil {
				return err
			}
			f.After = rows[i].Seq
		}
		if !c.Follow {
			return nil
		}
		time.Sleep(pollEvery)
	}
}

func (c *EventsCommand) page(f operator.Filter) ([]operator.Logged, error) {
	var rows []operator.Logged
	err := c.get("/api/events"+f.Query(), &rows)
	return rows, err
}

func (c *EventsCommand) print(w io.Writer, e *operator.Logged) error {
	if c.JSON {
		return errors.Wrap(json.NewEncoder(w).Encode(e), "write output")
	}
	_, err := fmt.Fprintf(w, "%s %d %s", e.Time.UTC().Format(time.RFC3339Nano), e.Number, e.Name)
	for _, p := range e.Fields {
		if err == nil {
			_, err = fmt.Fprintf(w, " %s=%q", p.Key, p.Value)
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return errors.Wrap(err, "write output")
}
