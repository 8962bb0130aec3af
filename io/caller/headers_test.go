package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"

	"github.com/matryer/is"
)

// TestMalformedRequestsAreNotRun checks that a malformed request gets an error
// code and the outcome not-run, and reaches no endpoint.
func TestMalformedRequestsAreNotRun(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		body   int
		code   status.Code
	}{
		{"two ids", http.Header{HeaderRequestID: {"a", "b"}}, 0, "duplicate-header"},
		{"two equal idempotent headers", http.Header{HeaderIdempotent: {"true", "true"}}, 0, "duplicate-header"},
		{"two deadlines", http.Header{HeaderDeadline: {"1s", "2s"}}, 0, "duplicate-header"},
		{"long id", http.Header{HeaderRequestID: {strings.Repeat("x", 129)}}, 0, "out-of-range"},
		{"id with a space", http.Header{HeaderRequestID: {"a b"}}, 0, "bad-name"},
		{"id that is not ASCII", http.Header{HeaderRequestID: {"zug-ü"}}, 0, "bad-name"},
		{"unknown idempotent value", http.Header{HeaderIdempotent: {"perhaps"}}, 0, "out-of-range"},
		{"deadline without a unit", http.Header{HeaderDeadline: {"5"}}, 0, "wrong-unit"},
		{"negative deadline", http.Header{HeaderDeadline: {"-1s"}}, 0, "out-of-range"},
		{"deadline over the maximum", http.Header{HeaderDeadline: {"2000h"}}, 0, "out-of-range"},
		{"deadline that overflows", http.Header{HeaderDeadline: {strings.Repeat("9", 400) + "h"}}, 0, "wrong-unit"},
		{"large body", http.Header{}, 1<<16 + 1, "body-too-large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				entry := newTestEntry(1, 1, nil)
				r := httptest.NewRequest("POST", "/services/catalogue/list", strings.NewReader(strings.Repeat("b", tt.body)))
				r.Header = tt.header
				w := httptest.NewRecorder()
				entry.server.Handler().ServeHTTP(w, r)
				entry.close()
				is.Equal(w.Header().Get(HeaderOutcome), string(caller.NotRun))
				is.Equal(w.Header().Get(HeaderCode), string(tt.code))
				is.True(len(w.Header().Get(HeaderRequestID)) <= maxRequestIDBytes)
				is.Equal(len(entry.endpoint.runs), 0)
			})
		})
	}
}

// FuzzHeaders checks that parsing arbitrary headers results in a request within
// its limits or in an error with a code.
func FuzzHeaders(f *testing.F) {
	f.Add("booking-1", "false", "250ms", false)
	f.Add("", "", "", false)
	f.Add("0190b7a4-0000-7000-8000-000000000000", "true", "10m", true)
	f.Add(strings.Repeat("x", 200), "TRUE", "1e9h", false)
	f.Add("a\x00b", "0", "-0s", true)
	svc := &operator.Service{Name: "catalogue", Deadline: wire.Duration(time.Second)}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, id, idempotent, deadline string, twice bool) {
		r := httptest.NewRequest("POST", "/services/catalogue/list", nil)
		r.Header = http.Header{HeaderRequestID: {id}, HeaderIdempotent: {idempotent}, HeaderDeadline: {deadline}}
		if twice {
			r.Header.Add(HeaderDeadline, deadline)
		}
		var req caller.Request
		err := parseIdentity(r, &req)
		if err == nil {
			err = parseMethodAndDeadline(r, svc, now, &req)
		}
		remaining := req.Deadline.Sub(now)
		switch {
		case err != nil && status.CodeOf(err) == status.ErrInternal.Code():
			t.Fatalf("error without a code: %v", err)
		case err != nil:
			return
		case twice:
			t.Fatal("accepted a request with two deadlines")
		case len(req.ID) > maxRequestIDBytes || strings.ContainsAny(req.ID, " \r\n\x00"):
			t.Fatalf("accepted the id %q", req.ID)
		case remaining <= 0 || remaining > operator.MaxDeadline:
			t.Fatal(fmt.Sprint("accepted the deadline ", remaining))
		}
	})
}
