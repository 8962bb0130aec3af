package operator

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// minEventsPerArea is the minimum number of latest events of each area that an entry
// keeps; it keeps at most twice as many. An area is a subject of events, such as
// requests or batch work, and has a range of event numbers. The areas have separate
// limits, so that the events of requests don't displace those of batch work.
const minEventsPerArea = 512

// eventNumbersPerArea is the size of the range of event numbers of one area.
const eventNumbersPerArea = 1000

// LoggedEvent is an event that was logged.
type LoggedEvent struct {
	// Seq increases with each event of this entry. It also increases across
	// restarts of the process, since it starts at the current time in microseconds.
	Seq    int64        `json:"seq"`
	Time   time.Time    `json:"time"`
	Number int          `json:"event"`
	Name   string       `json:"name"`
	Level  string       `json:"level"`
	Fields []EventField `json:"fields"`
}

// EventField is one field of an event.
type EventField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// field returns the value of the field with the given key, or "".
func (l *LoggedEvent) field(key string) string {
	for _, p := range l.Fields {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// rawEvent is an event as the logger passed it on. It is formatted only when it
// is queried.
type rawEvent struct {
	seq    int64
	time   time.Time
	number int
	name   string
	level  hclog.Level
	// args holds alternating keys and values, which are immutable.
	args []any
}

// format returns the event with its values formatted as text.
func (l *rawEvent) format() LoggedEvent {
	out := LoggedEvent{Seq: l.seq, Time: l.time, Number: l.number, Name: l.name, Level: l.level.String()}
	for i := 0; i+1 < len(l.args); i += 2 {
		if key, ok := l.args[i].(string); ok && key != eventNumberKey {
			out.Fields = append(out.Fields, EventField{key, fmt.Sprint(l.args[i+1])})
		}
	}
	return out
}

// eventNumberKey is the key of the field with the number of an event.
const eventNumberKey = "event"

// RecentEvents keeps the latest events of an entry in memory. It is a sink of
// the logger of the process and is safe for concurrent use.
type RecentEvents struct {
	mu    sync.Mutex
	seq   int64
	areas map[int][]rawEvent
}

// NewRecentEvents returns an empty RecentEvents.
func NewRecentEvents() *RecentEvents {
	return &RecentEvents{seq: time.Now().UnixMicro(), areas: make(map[int][]rawEvent)}
}

var _ hclog.SinkAdapter = (*RecentEvents)(nil)

// Accept implements hclog.SinkAdapter.
func (r *RecentEvents) Accept(_ string, level hclog.Level, name string, args ...any) {
	e := rawEvent{time: time.Now(), name: name, level: level, args: args}
	if len(args) > 1 && args[0] == eventNumberKey {
		e.number, _ = args[1].(int)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.seq = r.seq
	area := e.number / eventNumbersPerArea
	events := r.areas[area]
	if len(events) == 2*minEventsPerArea {
		events = slices.Delete(events, 0, minEventsPerArea)
	}
	r.areas[area] = append(events, e)
}

// EventFilter selects events. A field with the zero value matches all events.
type EventFilter struct {
	// After matches the events with a higher Seq.
	After int64
	// Number is the required event number.
	Number int
	// Job, Worker and Service are the required values of the event fields with
	// these names.
	Job, Worker, Service string
}

func (f *EventFilter) matches(l *LoggedEvent) bool {
	return l.Seq > f.After &&
		(f.Number == 0 || l.Number == f.Number) &&
		(f.Job == "" || l.field("job") == f.Job) &&
		(f.Worker == "" || l.field("worker") == f.Worker) &&
		(f.Service == "" || l.field("service") == f.Service)
}

// Select returns the kept events that match f, oldest first.
func (r *RecentEvents) Select(f EventFilter) []LoggedEvent {
	out := []LoggedEvent{}
	for _, l := range r.rawEvents() {
		if e := l.format(); f.matches(&e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b LoggedEvent) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// rawEvents returns a copy of all kept events, in no particular order.
func (r *RecentEvents) rawEvents() []rawEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []rawEvent
	for _, events := range r.areas {
		out = append(out, events...)
	}
	return out
}

// Query returns the query string of f for GET /api/events, including the
// question mark.
func (f EventFilter) Query() string {
	q := url.Values{}
	q.Set("after", strconv.FormatInt(f.After, 10))
	if f.Number != 0 {
		q.Set("event", strconv.Itoa(f.Number))
	}
	for key, v := range map[string]string{"job": f.Job, "worker": f.Worker, "service": f.Service} {
		if v != "" {
			q.Set(key, v)
		}
	}
	return "?" + q.Encode()
}
