package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"

	"rosemarygap/core/entry"
	core "rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	standin "rosemarygap/io/standin/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// zonesControl is a fakeControl with workers in two zones.
type zonesControl struct{ *fakeControl }

func (z zonesControl) Workers(context.Context) ([]entry.Worker, error) {
	rows := []entry.Worker{{ID: "worker-0", Zone: "kelowna"}, {ID: "worker-1", Zone: "vernon"}, {ID: "worker-2", Zone: "kelowna"}, {ID: "worker-3"}}
	for i := range rows {
		rows[i].Draining = slices.Contains(z.config.Document.Draining, rows[i].ID)
	}
	return rows, nil
}

// putZone requests the evacuation of a zone or its end by the API.
func putZone(t *testing.T, h http.Handler, zone string, r DrainRequest) *httptest.ResponseRecorder {
	b, err := json.Marshal(r)
	is.New(t).NoErr(err)
	req := httptest.NewRequest(http.MethodPut, "http://127.0.0.1:80/api/zones/"+url.PathEscape(zone)+"/draining", bytes.NewReader(b))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// An evacuation must drain all workers of the zone and no others, in one change; a
// repetition after a lost answer must change nothing. A zone that no worker is in is an
// error that names it: a misspelt name would otherwise leave the zone in use.
func TestEvacuateZone(t *testing.T) {
	is := is.New(t)
	_, ctl := newBrowser(t, "")
	h := NewServer(zonesControl{ctl}, standin.NewStore(), hclog.NewNullLogger()).Handler()
	for _, zone := range []string{"kelowma", ""} {
		w := putZone(t, h, zone, DrainRequest{Draining: true, ChangeID: "a"})
		is.True(w.Code >= http.StatusBadRequest && w.Code < http.StatusInternalServerError)
		is.Equal(ctl.config.Revision, int64(1))
		if zone != "" {
			var body wire.ErrorBody
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
			is.Equal(body.Code, status.ErrUnknownRef.Code())
			is.Equal([]string{body.Path, body.Value}, []string{"zone", zone})
		}
	}
	for range 2 {
		w := putZone(t, h, "kelowna", DrainRequest{Draining: true, ChangeID: "b"})
		is.Equal(w.Code, http.StatusOK)
		var accepted core.AcceptedConfig
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &accepted))
		is.Equal(accepted.Document.Draining, []string{"worker-0", "worker-2"})
		is.Equal(accepted.Revision, int64(2))
	}
	is.Equal(putZone(t, h, "vernon", DrainRequest{Draining: true, ChangeID: "b"}).Code, http.StatusOK)
	is.Equal(putZone(t, h, "kelowna", DrainRequest{ChangeID: "c"}).Code, http.StatusOK)
	is.Equal(ctl.config.Document.Draining, []string{"worker-1"})
}

// The console offers the evacuation of each zone, and its end once all workers of the
// zone drain.
func TestConsoleEvacuatesZone(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	b.handler = NewServer(zonesControl{ctl}, standin.NewStore(), hclog.NewNullLogger()).Handler()
	for _, want := range [][]string{{"worker-0", "worker-2"}, {}} {
		_, page := b.do("GET", "/workers", nil)
		form := formsWith(t, page, fieldEvacuate)[0]
		is.Equal(form.Get(fieldZone), "kelowna")
		is.Equal(form.Get(fieldEvacuate) == "true", len(want) > 0)
		code, page := b.do("POST", "/workers/evacuate", form)
		is.Equal(code, http.StatusOK)
		is.True(slices.Equal(ctl.config.Document.Draining, want))
		is.True(strings.Contains(page, "config-accepted"))
	}
	code, page := b.do("POST", "/workers/evacuate", url.Values{fieldZone: {"nowhere"}, fieldEvacuate: {"true"}})
	is.True(code >= http.StatusBadRequest && strings.Contains(page, "nowhere"))
}
