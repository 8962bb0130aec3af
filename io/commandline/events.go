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

// EventsCommand shows the recent events of one or all entries.
type EventsCommand struct {
	Target
	Follow  bool   `arg:"-f,--follow" help:"keep printing new events until interrupted"`
	All     bool   `arg:"--all" help:"show the events of all entries instead of only those of --entry"`
	JSON    bool   `arg:"--json,env:ROSEMARYGAP_JSON" help:"print one JSON object per line instead of text"`
	Number  int    `arg:"--event" default:"0" help:"only events with this number; 0 shows all"`
	Job     string `arg:"--job" help:"only events of this job"`
	Worker  string `arg:"--worker" help:"only events of this worker"`
	Service string `arg:"--service" help:"only events of this service"`
	After   int64  `arg:"--after" default:"0" help:"only events with a higher sequence number (seq); each entry numbers its own events"`
}

// eventSource is an entry whose events are shown, with the sequence number of
// its last event that was shown.
type eventSource struct {
	id     string
	target Target
	after  int64
}

// EntryEvent is an event with the entry that logged it.
type EntryEvent struct {
	Entry string `json:"entry"`
	operator.LoggedEvent
}

// Run prints the events, oldest first. With --follow it polls until interrupted,
// prints the new events of each poll, and ignores the errors of the polls.
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
			if err := c.printEvent(w, &rows[i]); err != nil {
				return err
			}
		}
		if !c.Follow {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// sources returns the entries whose events are shown.
func (c *EventsCommand) sources() ([]*eventSource, error) {
	var all []entry.Status
	if err := c.get("/api/status", &all); err != nil {
		return nil, err
	}
	var out []*eventSource
	for _, e := range all {
		isTarget := e.Operator == c.Entry
		if (c.All && e.Operator.IsValid()) || isTarget {
			out = append(out, &eventSource{e.ID, Target{e.Operator, c.Token}, c.After})
		}
	}
	if !c.All && len(out) == 0 {
		// The entry reports another operator address than the one given by
		// --entry, so that its id is unknown.
		out = append(out, &eventSource{"", c.Target, c.After})
	}
	return out, nil
}

// collect returns the new events of all sources in the order of time, and the
// last error if any source failed.
func (c *EventsCommand) collect(sources []*eventSource) ([]EntryEvent, error) {
	var out []EntryEvent
	var lastErr error
	for _, s := range sources {
		filter := operator.EventFilter{After: s.after, Number: c.Number, Job: c.Job, Worker: c.Worker, Service: c.Service}
		var rows []operator.LoggedEvent
		if err := s.target.get("/api/events"+filter.Query(), &rows); err != nil {
			lastErr = status.At(err, "entry", s.id)
			continue
		}
		for _, r := range rows {
			out = append(out, EntryEvent{s.id, r})
			s.after = r.Seq
		}
	}
	slices.SortStableFunc(out, func(a, b EntryEvent) int { return a.Time.Compare(b.Time) })
	return out, lastErr
}

func (c *EventsCommand) printEvent(w io.Writer, e *EntryEvent) error {
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
