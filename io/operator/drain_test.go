package operator

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"rosemarygap/core/entry"
	standin "rosemarygap/io/standin/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// twoWorkerControl is a fakeControl with two workers.
type twoWorkerControl struct{ *fakeControl }

func (twoWorkerControl) Workers(context.Context) ([]entry.Worker, error) {
	return []entry.Worker{{ID: "worker-1", Heard: true}, {ID: "worker-2", Heard: true}}, nil
}

// formsWith returns the values of the forms of a page that have the given field, in the
// order of the page.
func formsWith(t *testing.T, page, field string) []url.Values {
	var forms []url.Values
	for _, e := range elements(t, page, "form", "input") {
		switch {
		case e.tag == "form":
			forms = append(forms, url.Values{})
		case len(forms) > 0:
			forms[len(forms)-1].Set(e.attrs["name"], e.attrs["value"])
		}
	}
	return slices.DeleteFunc(forms, func(f url.Values) bool { return !f.Has(field) })
}

// An operator drains one worker, returns to the same page with the back button of the
// browser and drains another worker. The forms of both workers can have the same
// change id. The second drain must not be taken for a repetition of the first and
// reported as accepted without effect.
func TestDrainsFromOnePageAllTakeEffect(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	// The store is empty, so drains are based on the configuration in force.
	b.handler = NewServer(twoWorkerControl{ctl}, standin.NewStore(), hclog.NewNullLogger()).Handler()
	is.Equal(len(ctl.config.Document.Draining), 0)
	_, page := b.do("GET", "/workers", nil)
	forms := formsWith(t, page, "draining")
	is.Equal(len(forms), 2)
	for i, form := range forms {
		is.Equal(form.Get("draining"), "true")
		worker := form.Get(fieldID)
		code, page := b.do("POST", "/workers/drain", form)
		drains := slices.Contains(ctl.config.Document.Draining, worker)
		if i == 0 {
			is.True(code == http.StatusOK && drains) // nothing conflicts with the first drain
		}
		if !drains && code < http.StatusBadRequest {
			t.Errorf("drain of %s: status %d, config-accepted %t, but the draining workers are %v, want an error or an effect",
				worker, code, strings.Contains(page, "config-accepted"), ctl.config.Document.Draining)
		}
	}
}
