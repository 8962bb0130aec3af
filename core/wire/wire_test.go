package wire

import (
	"errors"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/status"

	"github.com/matryer/is"
)

type testMessage struct {
	Name string   `json:"name"`
	Wait Duration `json:"wait"`
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name, in string
		want     error
	}{
		{"valid", `{"name":"a","wait":"250ms"}`, nil},
		{"empty", ``, status.ErrMalformedJSON},
		{"truncated", `{"name":"a"`, status.ErrMalformedJSON},
		{"trailing data", `{"name":"a"} {}`, status.ErrMalformedJSON},
		{"unknown field", `{"nam":"a"}`, status.ErrUnknownField},
		{"no unit", `{"wait":250}`, status.ErrWrongUnit},
		{"wrong unit", `{"wait":"250 seconds"}`, status.ErrWrongUnit},
		{"wrong type", `{"name":3}`, status.ErrMalformedJSON},
		{"too large", `{"name":"` + strings.Repeat("a", 100) + `"}`, status.ErrBodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var m testMessage
			err := Decode(strings.NewReader(tt.in), 100, &m)
			is.True(errors.Is(err, tt.want))
		})
	}
}

func TestErrorBodyKeepsCodePathAndRetry(t *testing.T) {
	is := is.New(t)
	err := status.RetryIn(status.At(status.ErrQueueFull, "service", "catalogue"), time.Second)
	decoded := ErrorBodyOf(err).Err()
	is.True(errors.Is(decoded, status.ErrQueueFull))
	is.Equal(status.RetryAfterOf(decoded), time.Second)
	path, value := status.DetailOf(decoded)
	is.Equal(path, "service")
	is.Equal(value, "catalogue")
}

// TestBadDurationReportsFieldPath checks that the error for an invalid duration
// has the path of its field, at any nesting depth.
func TestBadDurationReportsFieldPath(t *testing.T) {
	type outer struct {
		testMessage
		Inner *testMessage  `json:"inner"`
		List  []testMessage `json:"list"`
	}
	for in, want := range map[string][2]string{
		`{"wait":"1 s"}`:                       {"wait", "1 s"},
		`{"wait":"1s","inner":{"wait":10}}`:    {"inner.wait", "10"},
		`{"list":[{"wait":"1s"},{"wait":""}]}`: {"list[1].wait", ""},
	} {
		is := is.New(t)
		var v outer
		err := Unmarshal([]byte(in), &v)
		is.True(errors.Is(err, status.ErrWrongUnit))
		path, value := status.DetailOf(err)
		is.Equal([2]string{path, value}, want)
	}
}
