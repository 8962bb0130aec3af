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

// keptPerArea is how many events of one area (the thousands of the number) an
// entry keeps, so that traffic doesn't push out decisions on batch work.
const keptPerArea = 512

// areaSize is the span of the event numbers of one area.
const areaSize = 1000

// Logged is one event that was logged.
type LoggedEvent struct {
	// Seq rises with each event of this entry, also when its process is
	// started again.
	Seq    int64        `json:"seq"`
	Time   time.Time    `json:"time"`
	Number int          `json:"event"`
	Name   string       `json:"name"`
	Level  string       `json:"level"`
	Fields []EventField `json:"fields"`
}

// Pair is one field of an event.
type EventField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// field returns the value of a field, or "".
func (l *LoggedEvent) field(key string) string {
	for _, p := range l.Fields {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// line is an event as it was logged; it becomes text when somebody asks.
type line struct {
	seq    int64
	time   time.Time
	number int
	name   string
	level  hclog.Level
	// args are keys and values in turn, which nobody changes any more.
	args []any
}

// logged turns a line into text.
func (l *line) logged() LoggedEvent {
	out := LoggedEvent{Seq: l.seq, Time: l.time, Number: l.number, Name: l.name, Level: l.level.String()}
	for i := 0; i+1 < len(l.args); i += 2 {
		if key, ok := l.args[i].(string); ok && key != numberKey {
			out.Fields = append(out.Fields, EventField{key, fmt.Sprint(l.args[i+1])})
		}
	}
	return out
}

// numberKey is the key of an event's number.
const numberKey = "event"

// Recent keeps the latest events of an entry in memory. It is a sink of the
// process's logger and safe for concurrent use.
type RecentEvents struct {
	mu    sync.Mutex
	seq   int64
	areas map[int][]line
}

// NewRecent returns an empty Recent.
func NewRecentEvents() *RecentEvents {
	return &RecentEvents{seq: time.Now().UnixMicro(), areas: make(map[int][]line)}
}

var _ hclog.SinkAdapter = (*RecentEvents)(nil)

// Accept implements hclog.SinkAdapter.
func (r *RecentEvents) Accept(_ string, level hclog.Level, name string, args ...any) {
	l := line{time: time.Now(), name: name, level: level, args: args}
	if len(args) > 1 && args[0] == numberKey {
		l.number, _ = args[1].(int)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	l.seq = r.seq
	area := l.number / areaSize
	kept := r.areas[area]
	if len(kept) == 2*keptPerArea {
		kept = slices.Delete(kept, 0, keptPerArea)
	}
	r.areas[area] = append(kept, l)
}

// Filter selects events; zero values select all.
type EventFilter struct {
	After  int64
	Number int
	// Job, Worker and Service are values of the fields of these names.
	Job, Worker, Service string
}

func (f *EventFilter) admits(l *LoggedEvent) bool {
	return l.Seq > f.After &&
		(f.Number == 0 || l.Number == f.Number) &&
		(f.Job == "" || l.field("job") == f.Job) &&
		(f.Worker == "" || l.field("worker") == f.Worker) &&
		(f.Service == "" || l.field("service") == f.Service)
}

// Select returns the kept events that f admits, oldest first.
func (r *RecentEvents) Select(f EventFilter) []LoggedEvent {
	out := []LoggedEvent{}
	for _, l := range r.lines() {
		if e := l.logged(); f.admits(&e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b LoggedEvent) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

func (r *RecentEvents) lines() []line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []line
	for _, kept := range r.areas {
		out = append(out, kept...)
	}
	return out
}

// Query returns the query of f for GET /api/events.
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
