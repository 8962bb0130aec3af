package commandline

import (
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/status"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestOptionsAreRefusedWithFlagAndValue(t *testing.T) {
	tests := []struct {
		name, path, value string
		change            func(o *Options)
	}{
		{"no service", "--service", "all", func(o *Options) { o.Service = "" }},
		{"rate of zero", "--rate", "0", func(o *Options) { o.Rate = 0 }},
		{"endless", "--duration", "48h0m0s", func(o *Options) { o.Duration = 48 * time.Hour }},
		{"negative deadline", "--deadline", "-1s", func(o *Options) { o.Deadline = -time.Second }},
		{"answer too large", "--size", "-1", func(o *Options) { o.ResponseSize = -1 }},
		{"class with too few fields", "--class", "a,1,s", func(o *Options) { o.Class = []string{"a,1,s"} }},
		{"class without a unit", "--class", "a,1,s,/,5,0", func(o *Options) { o.Class = []string{"a,1,s,/,5,0"} }},
		{"class twice", "--class", "a", func(o *Options) { o.Class = []string{"a,1,s,/,1s,0", "a,1,s,/,1s,0"} }},
		{"share over one", "--non-idempotent", "a", func(o *Options) { o.Class = []string{"a,1,s,/,1s,2"} }},
		{"fault nowhere", "--fault-at", "", func(o *Options) { o.Fault = "{}" }},
		{"fault no JSON", "--fault", "{", func(o *Options) { o.FaultAt, o.Fault = "127.0.0.1:1", "{" }},
		{"fault after the end", "--fault-after", "1h0m0s", func(o *Options) {
			o.FaultAt, o.Fault, o.FaultAfter = "127.0.0.1:1", "{}", time.Hour
		}},
		{"one poll for two entries", "--ready", "1", func(o *Options) {
			o.ReadinessAddresses = o.Entry
			o.Entry = append(o.Entry, o.Entry...)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := Options{Entry: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Rate: 1,
				Duration: time.Second, Service: "s", Path: "/", Deadline: time.Second}
			_, err := o.Plan()
			is.NoErr(err)
			tt.change(&o)
			_, err = o.Plan()
			path, value := status.DetailOf(err)
			is.True(errors.Is(err, status.ErrBadSetting))
			is.Equal(path, tt.path)
			is.Equal(value, tt.value)
		})
	}
}
