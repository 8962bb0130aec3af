package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/latency"
	core "rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
	standin "rosemarygap/io/standin/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"golang.org/x/net/html"
	"pgregory.net/rapid"
)

// fakeControl is a Control that keeps a configuration and jobs in memory.
type fakeControl struct {
	config    *core.AcceptedConfig
	jobs      []worker.JobRow
	mu        sync.Mutex
	cancelled []string
}

func (f *fakeControl) Snapshot() *entry.Snapshot {
	return &entry.Snapshot{Config: f.config, Endpoints: endpoint.EmptyView()}
}

func (f *fakeControl) Status() entry.Status {
	p := latency.Point{Began: time.Unix(0, 0), Answered: 9, P99: wire.Duration(300 * time.Millisecond)}
	return entry.Status{ID: "entry-a", Revision: f.Snapshot().Revision(), Ready: true,
		Services: []latency.Service{{Name: "catalogue", Points: []latency.Point{p, p}}}}
}

func (f *fakeControl) Adopt(_ context.Context, a *core.AcceptedConfig) {
	f.config = core.Newest(f.config, a)
}

func (f *fakeControl) Submit(_ context.Context, j worker.Job) error {
	f.jobs = append(f.jobs, worker.JobRow{Job: j, State: worker.Queued})
	return j.Check()
}

func (f *fakeControl) Cancel(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, id)
	if id == "none" {
		return status.At(status.ErrUnknownJob, "id", id)
	}
	return nil
}

func (f *fakeControl) Jobs(context.Context) ([]worker.JobRow, error) { return f.jobs, nil }

func (f *fakeControl) Endpoints(context.Context) ([]endpoint.Row, error) {
	return []endpoint.Row{{ID: "endpoint-1", State: endpoint.Lapsed}}, nil
}

func (f *fakeControl) Workers(context.Context) ([]entry.Worker, error) {
	return []entry.Worker{{ID: "worker-1", Heard: true}}, nil
}

// browser simulates the browser of an operator at one console.
type browser struct {
	t       *testing.T
	handler http.Handler
	cookies []*http.Cookie
	headers http.Header
	host    string
}

// newBrowser returns a browser at a console whose configuration is the example
// document at revision 1.
func newBrowser(t *testing.T, token string) (*browser, *fakeControl) {
	ctl := &fakeControl{}
	s := NewServer(ctl, standin.NewStore(), hclog.NewNullLogger(), WithToken(token))
	text, err := os.ReadFile("../../examples/kettle-valley.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, errResp := s.applyChange(context.Background(), editRequest{0, "first", text}); errResp != nil {
		t.Fatalf("%+v", errResp)
	}
	return &browser{t: t, handler: s.Handler(), headers: http.Header{}, host: "127.0.0.1:80"}, ctl
}

// do sends a request and returns the status code and body of the response. It
// keeps the cookies that the response sets.
func (b *browser) do(method, path string, form url.Values) (int, string) {
	b.t.Helper()
	r := httptest.NewRequest(method, "http://"+b.host+path, strings.NewReader(form.Encode()))
	r.Header = b.headers.Clone()
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	for _, c := range b.cookies {
		r.AddCookie(c)
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	b.cookies = append(b.cookies, w.Result().Cookies()...)
	return w.Code, w.Body.String()
}

// element is an HTML element with its attributes and text.
type element struct {
	tag   string
	attrs map[string]string
	text  string
}

// elements returns the elements of a page that have one of the given tags.
func elements(t *testing.T, page string, tags ...string) []element {
	t.Helper()
	root, err := html.Parse(strings.NewReader(page))
	if err != nil {
		t.Fatal(err)
	}
	var out []element
	for n := range root.Descendants() {
		for _, tag := range tags {
			if n.Type != html.ElementNode || n.Data != tag {
				continue
			}
			e := element{tag: tag, attrs: map[string]string{}}
			for _, a := range n.Attr {
				e.attrs[a.Key] = a.Val
			}
			for d := range n.Descendants() {
				if d.Type == html.TextNode {
					e.text += d.Data
				}
			}
			out = append(out, e)
		}
	}
	return out
}

// formValues returns the values that a browser would send for the fields of a
// page.
func formValues(t *testing.T, page string) url.Values {
	form := url.Values{}
	for _, e := range elements(t, page, "input") {
		_, checked := e.attrs["checked"]
		if e.attrs["name"] != "" && (e.attrs["type"] != "checkbox" || checked) {
			form.Set(e.attrs["name"], e.attrs["value"])
		}
	}
	return form
}

const quotaField = "teams[0].quota.memory-mib"

// Two operators edit the same revision. The second one gets a conflict; the page
// must keep that operator's input and show both revisions and the fields that
// differ. Rebasing must keep the first operator's change to another field.
func TestConsoleConflictKeepsInput(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	_, page := b.do("GET", "/config", nil)
	first, second := formValues(t, page), formValues(t, page)
	second.Set(fieldChangeID, "second")
	first.Set(quotaField, "1000")
	first.Set("services[0].deadline", "3s")
	second.Set(quotaField, "2000")
	second.Set("services[0].queue-limit", "99")
	first.Set(fieldAction, actionApply)
	second.Set(fieldAction, actionApply)
	code, _ := b.do("POST", "/config", first)
	is.Equal(code, http.StatusOK)
	is.Equal(ctl.config.Revision, int64(2))
	code, page = b.do("POST", "/config", second)
	is.Equal(code, http.StatusConflict)
	is.Equal(formValues(t, page).Get(quotaField), "2000")
	is.Equal(formValues(t, page).Get("services[0].queue-limit"), "99")
	is.Equal(ctl.config.Document.Teams[0].Quota.Memory, int64(1000))
	var texts []string
	for _, e := range elements(t, page, "code", "td") {
		texts = append(texts, e.text)
	}
	all := strings.Join(texts, "|")
	is.True(strings.Contains(all, "config-conflict"))
	is.True(strings.Contains(all, "teams[press].quota.memory-mib|1000|2000"))
	is.True(strings.Contains(all, "services[catalogue].queue-limit|256|99"))
	rebased := formValues(t, page)
	rebased.Set(fieldAction, actionRebase)
	_, page = b.do("POST", "/config", rebased)
	rebased = formValues(t, page)
	rebased.Set(fieldAction, actionApply)
	code, _ = b.do("POST", "/config", rebased)
	is.Equal(code, http.StatusOK)
	is.Equal(ctl.config.Document.Teams[0].Quota.Memory, int64(2000))
	is.Equal(ctl.config.Document.Services[0].QueueLimit, 99)
	is.Equal(ctl.config.Document.Services[0].Deadline.Std(), 3*time.Second) // the first operator's change is kept
}

// The console must show the faults that the validation of the document finds at
// their fields, and keep the operator's input when list elements are added and
// removed.
func TestConsoleShowsFaultsAtTheirFields(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	_, page := b.do("GET", "/config", nil)
	form := formValues(t, page)
	form.Set(quotaField, "much")
	form.Set("services[0].latency-target", "3s")
	form.Set(fieldAction, actionAdd+"teams")
	_, page = b.do("POST", "/config", form)
	form = formValues(t, page)
	is.Equal(form.Get("teams"+countSuffix), "2")
	is.Equal(form.Get(quotaField), "much")
	form.Set(fieldAction, actionApply)
	code, page := b.do("POST", "/config", form)
	is.Equal(code, http.StatusUnprocessableEntity)
	invalid := map[string]bool{}
	for _, e := range elements(t, page, "input") {
		if e.attrs["aria-invalid"] == "true" {
			invalid[e.attrs["id"]] = true
		}
	}
	is.True(invalid[quotaField] && invalid["services[0].latency-target"] && invalid["teams[1].name"])
	is.Equal(ctl.config.Revision, int64(1))
	form.Set(fieldAction, actionRemove+"teams[0]")
	_, page = b.do("POST", "/config", form)
	is.Equal(formValues(t, page).Get("teams"+countSuffix), "1")
}

// The console must reject changes without the token or its session cookie,
// changes that come from another site, and forms that are too large.
func TestConsoleAccess(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "secret-token")
	_, page := b.do("GET", "/config", nil)
	form := formValues(t, page)
	form.Set(quotaField, "77")
	form.Set(fieldAction, actionApply)
	code, page := b.do("POST", "/config", form)
	is.Equal(code, http.StatusUnauthorized)
	is.Equal(formValues(t, page).Get(quotaField), "77") // the input is kept
	for _, path := range []string{"/jobs", "/jobs/cancel", "/workers/drain", "/workers/evacuate"} {
		code, _ = b.do("POST", path, url.Values{})
		is.Equal(code, http.StatusUnauthorized)
	}
	is.Equal(len(ctl.jobs)+len(ctl.cancelled), 0)
	code, _ = b.do("POST", "/login", url.Values{"token": {"secret-tokex"}})
	is.Equal(code, http.StatusUnauthorized)
	is.Equal(len(b.cookies), 0)
	b.do("POST", "/login", url.Values{"token": {"secret-token"}})
	is.Equal(len(b.cookies), 1)
	cookie := b.cookies[0]
	is.True(cookie.HttpOnly && cookie.SameSite == http.SameSiteStrictMode && !strings.Contains(cookie.Value, "secret"))
	b.headers.Set("Sec-Fetch-Site", "cross-site")
	code, body := b.do("POST", "/config", form)
	is.Equal(code, http.StatusForbidden)
	is.True(strings.Contains(body, string(status.ErrCrossOrigin.Code())))
	b.headers.Set("Sec-Fetch-Site", "same-origin")
	big := url.Values{"x": {strings.Repeat("x", wire.MaxControlBody)}}
	code, body = b.do("POST", "/config", big)
	is.Equal(code, http.StatusRequestEntityTooLarge)
	is.True(strings.Contains(body, string(status.ErrBodyTooLarge.Code())))
	code, _ = b.do("POST", "/config", form)
	is.Equal(code, http.StatusOK)
	is.Equal(ctl.config.Document.Teams[0].Quota.Memory, int64(77))
	code, _ = b.do("POST", "/workers/drain", url.Values{fieldID: {"worker-1"}, "draining": {"true"}, fieldChangeID: {"d"}})
	is.Equal(code, http.StatusOK)
	is.Equal(ctl.config.Document.Draining, []string{"worker-1"})
}

// Without a token, a site whose host name resolves to this host must not be able
// to make changes (DNS rebinding).
func TestConsoleRefusesForeignHostNames(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	for host, want := range map[string]int{"site.example:80": http.StatusForbidden,
		"127.0.0.1:80": http.StatusOK, "[::1]:80": http.StatusOK, "localhost:80": http.StatusOK} {
		b.host = host
		code, _ := b.do("POST", "/jobs/cancel", url.Values{fieldID: {"a/b"}})
		is.Equal(code, want) // host
	}
	is.Equal(ctl.cancelled, []string{"a/b", "a/b", "a/b"})
}

// Every page must be usable with a keyboard, a screen reader and a phone: each
// field has a label, each id is unique, each plot has its values as text, and no
// page needs a script.
func TestPagesAreUsableWithoutAMouse(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	ctl.jobs = []worker.JobRow{{Job: worker.Job{ID: "build-1"}, State: worker.Parked, Reason: "impossible-job"}}
	for _, l := range append(navLinks, navLink{"login", "/login"}) {
		code, page := b.do("GET", l.Path, nil)
		is.Equal(code, http.StatusOK)
		is.Equal(len(elements(t, page, "script", "style")), 0)
		is.Equal(len(elements(t, page, "h1", "main", "nav")) >= 3, true)
		labels, ids := map[string]bool{}, map[string]bool{}
		for _, e := range elements(t, page, "label") {
			labels[e.attrs["for"]] = true
		}
		for _, e := range elements(t, page, "input", "fieldset", "main", "section", "datalist") {
			if id := e.attrs["id"]; id != "" && ids[id] {
				t.Errorf("%s: duplicate id %s", l.Path, id)
			}
			ids[e.attrs["id"]] = true
			if e.tag == "input" && e.attrs["type"] != "hidden" && !labels[e.attrs["id"]] && e.attrs["aria-label"] == "" {
				t.Errorf("%s: input without a label: %v", l.Path, e.attrs)
			}
		}
		for _, e := range elements(t, page, "svg") {
			is.True(e.attrs["role"] == "img" && strings.Contains(e.attrs["aria-label"], "="))
		}
		is.True(strings.Contains(page, `name="viewport"`))
	}
	_, page := b.do("GET", "/", nil)
	is.True(strings.Contains(page, "target-missed")) // p99 of 300ms against 200ms
	is.True(strings.Contains(page, string(endpoint.Lapsed)))
	_, page = b.do("GET", "/jobs", nil)
	is.True(strings.Contains(page, "impossible-job"))
	is.True(strings.Contains(page, `aria-label="select build-1"`)) // a parked job can be cancelled
}

// If one of several cancellations fails, the others must still be carried out and
// the page must show the error. An empty selection must be rejected.
func TestConsoleCancelsChosenJobs(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	code, page := b.do("POST", "/jobs/cancel", url.Values{fieldID: {"a", "b", "none"}})
	is.Equal(code, http.StatusNotFound)
	is.True(strings.Contains(page, string(status.ErrUnknownJob.Code())))
	is.Equal(len(ctl.cancelled), 3)
	code, _ = b.do("POST", "/jobs/cancel", url.Values{})
	is.Equal(code, http.StatusBadRequest)
}

// The jobs form must report the faults of an invalid job and submit a valid one.
func TestConsoleSubmitsAJob(t *testing.T) {
	is := is.New(t)
	b, ctl := newBrowser(t, "")
	_, page := b.do("GET", "/jobs", nil)
	form := formValues(t, page)
	code, page := b.do("POST", "/jobs", form)
	is.Equal(code, http.StatusBadRequest)
	is.True(strings.Contains(page, string(status.ErrMissingField.Code())))
	ctl.jobs = nil
	form.Set("id", "build-7")
	form.Set("run-time", "5m")
	code, _ = b.do("POST", "/jobs", form)
	is.Equal(code, http.StatusOK)
	is.Equal(ctl.jobs[0].ID, "build-7")
	is.Equal(ctl.jobs[0].RunTime.Std(), 5*time.Minute)
}

// A document must be unchanged after its conversion to a form and back.
func TestFormRoundTrip(t *testing.T) {
	names := rapid.SliceOfN(rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		d := core.Document{Format: core.Format, Cells: rapid.Int().Draw(t, "cells") % (1 << 50)}
		if rapid.Bool().Draw(t, "with-capacity") {
			d.Capacity = &core.Quota{Memory: int64(rapid.IntRange(0, 1<<40).Draw(t, "memory"))}
		}
		d.Services = []core.Service{}
		for i := range rapid.IntRange(0, 12).Draw(t, "services") {
			d.Services = append(d.Services, core.Service{Name: "s" + strconv.Itoa(i),
				Deadline: wire.Duration(rapid.IntRange(0, 1e12).Draw(t, "deadline"))})
		}
		d.Teams, d.Rules = []core.Team{}, []core.Rule{}
		d.Classes = []core.Class{{Name: "a", Urgent: rapid.Bool().Draw(t, "urgent")}}
		if zones := names.Draw(t, "zones"); len(zones) > 0 {
			d.Rules = append(d.Rules, core.Rule{Name: "r", Class: "a", Zones: zones})
		}
		if w := names.Draw(t, "draining"); len(w) > 0 {
			d.Draining = w
		}
		form, err := valueToForm(d)
		if err != nil {
			t.Fatal(err)
		}
		var back core.Document
		if err := json.Unmarshal(documentFromForm(form), &back); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(d, back) {
			t.Fatalf("document %+v changed to %+v", d, back)
		}
	})
}
