package wire

import (
	"errors"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/status"

	"github.com/matryer/is"
)

type sample struct {
	Name string   `json:"name"`
	Wait Duration `json:"wait"`
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name, in string
		want     error
	}{
		{"good", `{"name":"a","wait":"250ms"}`, nil},
		{"empty", ``, status.ErrMalformedJSON},
		{"cut off", `{"name":"a"`, status.ErrMalformedJSON},
		{"trailing", `{"name":"a"} {}`, status.ErrMalformedJSON},
		{"unknown field", `{"nam":"a"}`, status.ErrUnknownField},
		{"no unit", `{"wait":250}`, status.ErrWrongUnit},
		{"wrong unit", `{"wait":"250 seconds"}`, status.ErrWrongUnit},
		{"wrong type", `{"name":3}`, status.ErrMalformedJSON},
		{"too large", `{"name":"` + strings.Repeat("a", 100) + `"}`, status.ErrBodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s sample
			err := Decode(strings.NewReader(tt.in), 100, &s)
			is.True(errors.Is(err, tt.want))
		})
	}
}

func TestErrorBodyKeepsCodePathAndRetry(t *testing.T) {
	is := is.New(t)
	err := status.RetryIn(status.At(status.ErrQueueFull, "service", "catalogue"), time.Second)
	back := ErrorBodyOf(err).Err()
	is.True(errors.Is(back, status.ErrQueueFull))
	is.Equal(status.RetryAfterOf(back), time.Second)
	path, value := status.DetailOf(back)
	is.Equal(path, "service")
	is.Equal(value, "catalogue")
}

// A bad duration is named by the path of its field, however deep it stands.
func TestBadDurationHasItsPath(t *testing.T) {
	type outer struct {
		sample
		Inner *sample  `json:"inner"`
		List  []sample `json:"list"`
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
