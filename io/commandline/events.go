package commandline

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"rosemarygap/core/entry"
	"rosemarygap/core/status"
	"rosemarygap/io/operator"

	"github.com/pkg/errors"
)

// EventsCommand shows recent events.
type EventsCommand struct {
	Target
	Follow  bool   `arg:"-f,--follow" help:"go on with new events until interrupted"`
	All     bool   `arg:"--all" help:"events of all entries, not only of the one that is asked"`
	JSON    bool   `arg:"--json,env:ROSEMARYGAP_JSON" help:"print one JSON object a line instead of text"`
	Number  int    `arg:"--event" default:"0" help:"only events with this number; 0 for all"`
	Job     string `arg:"--job" help:"only events of this job"`
	Worker  string `arg:"--worker" help:"only events of this worker"`
	Service string `arg:"--service" help:"only events of this service"`
	After   int64  `arg:"--after" default:"0" help:"only events with a higher seq; seq counts at each entry"`
}

// source is an entry whose events are shown, and the seq up to which they
// were.
type source struct {
	id     string
	target Target
	after  int64
}

// EntryEvent is an event with the entry that logged it.
type EntryEvent struct {
	Entry string `json:"entry"`
	operator.Logged
}

// Run prints the events, oldest first.
func (c *EventsCommand) Run(w io.Writer) error {
	sources, err := c.sources()
	if err != nil {
		return err
	}
	for {
		rows, err := c.collect(sources)
		if err != nil && !c.Follow {
			return err
		}
		for i := range rows {
			if err := c.print(w, &rows[i]); err != nil {
				return err
			}
		}
		if !c.Follow {
			return nil
		}
		time.Sleep(pollEvery)
	}
}

// sources returns the entries to ask.
func (c *EventsCommand) sources() ([]*source, error) {
	var all []entry.Status
	if err := c.get("/api/status", &all); err != nil {
		return nil, err
	}
	var out []*source
	for _, e := range all {
		asked := e.Operator == c.Entry
		if (c.All && e.Operator.IsValid()) || asked {
			out = append(out, &source{e.ID, Target{e.Operator, c.Token}, c.After})
		}
	}
	if !c.All && len(out) == 0 {
		// The entry is reached by another address than its own.
		out = append(out, &source{"", c.Target, c.After})
	}
	return out, nil
}

// collect returns the new events of all sources by time, and the last error
// if one did not answer.
func (c *EventsCommand) collect(sources []*source) ([]EntryEvent, error) {
	var out []EntryEvent
	var failed error
	for _, s := range sources {
		f := operator.Filter{After: s.after, Number: c.Number, Job: c.Job, Worker: c.Worker, Service: c.Service}
		var rows []operator.Logged
		if err := s.target.get("/api/events"+f.Query(), &rows); err != nil {
			failed = status.At(err, "entry", s.id)
			continue
		}
		for _, r := range rows {
			out = append(out, EntryEvent{s.id, r})
			s.after = r.Seq
		}
	}
	slices.SortStableFunc(out, func(a, b EntryEvent) int { return a.Time.Compare(b.Time) })
	return out, failed
}

func (c *EventsCommand) print(w io.Writer, e *EntryEvent) error {
	if c.JSON {
		return errors.Wrap(json.NewEncoder(w).Encode(e), "write output")
	}
	_, err := fmt.Fprintf(w, "%s %s %d %s", e.Time.UTC().Format(time.RFC3339Nano), e.Entry, e.Number, e.Name)
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
