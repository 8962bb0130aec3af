package operator

import (
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
type Logged struct {
	// Seq rises by one with each event of this entry's process.
	Seq    int64     `json:"seq"`
	Time   time.Time `json:"time"`
	Number int       `json:"event"`
	Name   string    `json:"name"`
	Level  string    `json:"level"`
	Fields []Pair    `json:"fields"`
}

// Pair is one field of an event.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// field returns the value of a field, or "".
func (l *Logged) field(key string) string {
	for _, p := range l.Fields {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// Recent keeps the latest events of an entry in memory. It is a sink of the
// process's logger and safe for concurrent use.
type Recent struct {
	mu    sync.Mutex
	seq   int64
	areas map[int][]Logged
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{areas: make(map[int][]Logged)} }

var _ hclog.SinkAdapter = (*Recent)(nil)

// Accept implements hclog.SinkAdapter.
func (r *Recent) Accept(_ string, level hclog.Level, name string, args ...any) {
	e := Logged{Time: time.Now(), Name: name, Level: level.String()}
	for i := 0; i+1 < len(args); i += 2 {
		key, ok := args[i].(string)
		if n, is := args[i+1].(int); ok && is && key == "event" {
			e.Number = n
			continue
		}
		e.Fields = append(e.Fields, Pair{key, fmt.Sprint(args[i+1])})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Seq = r.seq
	area := e.Number / areaSize
	kept := r.areas[area]
	if len(kept) == 2*keptPerArea {
		kept = slices.Delete(kept, 0, keptPerArea)
	}
	r.areas[area] = append(kept, e)
}

// Filter selects events; zero values select all.
type Filter struct {
	After  int64
	Number int
	// Job, Worker and Service are values of the fields of these names.
	Job, Worker, Service string
}

func (f *Filter) admits(l *Logged) bool {
	return l.Seq > f.After &&
		(f.Number == 0 || l.Number == f.Number) &&
		(f.Job == "" || l.field("job") == f.Job) &&
		(f.Worker == "" || l.field("worker") == f.Worker) &&
		(f.Service == "" || l.field("service") == f.Service)
}

// Select returns the kept events that f admits, oldest first.
func (r *Recent) Select(f Filter) []Logged {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Logged{}
	for _, kept := range r.areas {
		for i := range kept {
			if f.admits(&kept[i]) {
				out = append(out, kept[i])
			}
		}
	}
	slices.SortFunc(out, func(a, b Logged) int { return int(a.Seq - b.Seq) })
	return out
}

// Query returns the query of f for GET /api/events.
func (f Filter) Query() string {
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
