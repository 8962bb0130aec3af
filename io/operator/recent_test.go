package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"rosemarygap/core/event"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// Traffic never pushes out decisions on batch work, the memory is bounded,
// and a reader that follows by seq meets each kept event once, in order.
func TestRecentKeepsEachArea(t *testing.T) {
	is := is.New(t)
	r := NewRecentEvents()
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard})
	l.RegisterSink(r)
	for i := range 5000 {
		if i%1000 == 0 {
			event.JobCancelled.Emit(l, event.Job("build-"+strconv.Itoa(i/1000)), event.Cell(1))
		}
		event.RequestEnded.Emit(l, event.Request("r"), event.Service("booking"), event.Outcome("answered"),
			event.Reason(""), event.Attempt(1), event.Elapsed(0))
	}
	all := r.Select(EventFilter{})
	is.True(len(all) >= keptPerArea && len(all) <= 2*keptPerArea+5)
	is.Equal(len(r.Select(EventFilter{Number: int(event.JobCancelled.Number)})), 5)
	one := r.Select(EventFilter{Job: "build-3"})
	is.Equal(len(one), 1)
	is.Equal(one[0].Fields, []EventField{{"job", "build-3"}, {"cell", "1"}})
	after, seen := int64(0), 0
	for {
		rows := r.Select(EventFilter{After: after})
		if len(rows) == 0 {
			break
		}
		is.True(rows[0].Seq > after)
		after = rows[0].Seq
		seen++
	}
	is.Equal(seen, len(all))
}

// The query of a Filter selects the same events over HTTP.
func TestFilterQueryRoundTrip(t *testing.T) {
	is := is.New(t)
	f := EventFilter{After: 7, Number: 3001, Job: "a b&c=d", Worker: "w", Service: "s"}
	q := httptest.NewRequest(http.MethodGet, "/api/events"+f.Query(), nil)
	got, err := filterOf(echo.New().NewContext(q, httptest.NewRecorder()))
	is.NoErr(err)
	is.Equal(got, f)
}
