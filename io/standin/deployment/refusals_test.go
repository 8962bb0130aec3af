package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/wire"
	"rosemarygap/io/golden"

	"github.com/matryer/is"
)

// badInput is a request that must be rejected with an error code. The field
// listener names the listener of the entry that receives the request.
type badInput struct {
	name, listener, method, path, body string
	header                             http.Header
}

// badInputs returns the requests in the order of the golden file, which has their
// names.
func badInputs() []badInput {
	oversizedBody := `{"id":"` + strings.Repeat("a", wire.MaxControlBody) + `"}`
	oversizedHeader := http.Header{"X-Wide": {strings.Repeat("w", 40<<10)}}
	header := func(name, value string) http.Header { return http.Header{name: {value}} }
	return []badInput{
		{"malformed", "caller", "POST", "/announcements/endpoints", `{"id":`, nil},
		{"unknown field", "caller", "POST", "/announcements/endpoints", `{"idd":"a"}`, nil},
		{"missing id", "caller", "POST", "/announcements/endpoints", `{}`, nil},
		{"slots out of range", "caller", "POST", "/announcements/endpoints",
			`{"id":"a","service":"b","address":"127.0.0.1:1","state":"ready","slots":0,"connections":1}`, nil},
		{"bad state", "caller", "POST", "/announcements/endpoints",
			`{"id":"a","service":"b","address":"127.0.0.1:1","state":"asleep","slots":1,"connections":1}`, nil},
		{"bad address", "caller", "POST", "/announcements/endpoints", `{"address":"nowhere"}`, nil},
		{"oversized", "caller", "POST", "/announcements/workers", oversizedBody, nil},
		{"no worker id", "caller", "POST", "/announcements/workers", `{"address":"127.0.0.1:1"}`, nil},
		{"unknown service", "caller", "GET", "/services/none/x", "", nil},
		{"deadline without unit", "caller", "GET", "/services/catalogue/x", "", header("Rosemarygap-Deadline", "250")},
		{"deadline out of range", "caller", "GET", "/services/catalogue/x", "", header("Rosemarygap-Deadline", "-1s")},
		{"bad mark", "caller", "GET", "/services/catalogue/x", "", header("Rosemarygap-Idempotent", "perhaps")},
		{"long request id", "caller", "GET", "/services/catalogue/x", "", header("Rosemarygap-Request-Id", strings.Repeat("i", 200))},
		{"oversized header", "caller", "GET", "/services/catalogue/x", "", oversizedHeader},
		{"oversized request", "caller", "POST", "/services/catalogue/x", strings.Repeat("b", 1<<20+1), nil},
		{"unknown path", "caller", "GET", "/nothing", "", nil},
		{"wrong method", "operator", "PATCH", "/api/jobs", "", nil},
		{"array for a job", "operator", "POST", "/api/jobs", `[]`, nil},
		{"job without id", "operator", "POST", "/api/jobs", `{"team":"press"}`, nil},
		{"job with a bare number", "operator", "POST", "/api/jobs", `{"id":"a","run-time":10}`, nil},
		{"job of an unknown team", "operator", "POST", "/api/jobs",
			`{"id":"a","team":"none","batch-class":"catalogue-build","need":{"processors-milli":1,"memory-mib":1},"run-time":"1s"}`, nil},
		{"job that needs less than nothing", "operator", "POST", "/api/jobs",
			`{"id":"a","team":"press","batch-class":"catalogue-build","need":{"processors-milli":-1,"memory-mib":1},"run-time":"1s"}`, nil},
		{"unknown job", "operator", "DELETE", "/api/jobs/none", "", nil},
		{"configuration with trailing data", "operator", "PUT", "/api/config", `{"change-id":"x"} {}`, nil},
		{"configuration without change id", "operator", "PUT", "/api/config", `{"revision":1}`, nil},
		{"empty configuration", "operator", "PUT", "/api/config", `{"change-id":"x","revision":1,"document":{}}`, nil},
		{"oversized configuration", "operator", "PUT", "/api/config", oversizedBody, nil},
		{"bad exchange", "peer", "POST", "/peer/exchange", `{"from":1}`, nil},
		{"bad cell", "peer", "GET", "/peer/jobs?cell=x", "", nil},
	}
}

// errorLine is one line of the golden file.
type errorLine struct {
	Name string `json:"name"`
	HTTP int    `json:"http"`
	Code string `json:"code"`
	Path string `json:"path,omitempty"`
}

// TestRefusalsCarryCodes sends invalid requests to the caller, operator and peer
// listeners of an entry. Each request must be rejected with a stable error code,
// and the entry must still serve afterwards.
func TestRefusalsCarryCodes(t *testing.T) {
	is := is.New(t)
	d := New(t, 1)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	d.StartEndpoint("endpoint-1", "catalogue", "kelowna")
	d.StartWorker("worker-1", "kelowna")
	d.Eventually("cell has an owner", 10*time.Second, func() bool {
		_, err := d.CallRaw(http.MethodGet, d.Entries[0].Operator, "/api/jobs", nil)
		return err == nil
	})
	var out bytes.Buffer
	for _, b := range badInputs() {
		line, err := json.Marshal(d.sendBadInput(b))
		is.NoErr(err)
		fmt.Fprintln(&out, string(line))
	}
	golden.Check(t, "testdata/refusals.txt", out.Bytes())
	d.Eventually("service after rejected requests", 5*time.Second, func() bool {
		resp, err := http.Get("http://" + d.Entries[0].Caller.String() + "/services/catalogue/x")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// sendBadInput sends b to the first entry and returns its error response.
func (d *Deployment) sendBadInput(b badInput) errorLine {
	d.t.Helper()
	req, err := http.NewRequest(b.method, "http://"+d.listenerAddress(b.listener).String()+b.path, strings.NewReader(b.body))
	if err != nil {
		d.t.Fatal(err)
	}
	for name, values := range b.header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatalf("%s: %v", b.name, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatalf("%s: %v", b.name, err)
	}
	var e wire.ErrorBody
	if err := json.Unmarshal(text, &e); err != nil {
		d.t.Errorf("%s: error response is not JSON: %q", b.name, text)
	}
	return errorLine{b.name, resp.StatusCode, string(e.Code), e.Path}
}

// listenerAddress returns the address of a listener of the first entry.
func (d *Deployment) listenerAddress(name string) netip.AddrPort {
	e := d.Entries[0]
	switch name {
	case "caller":
		return e.Caller
	case "peer":
		return e.Peer
	default:
		return e.Operator
	}
}
