package outage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDetector(t *testing.T) {
	type call struct {
		after   time.Duration
		success bool
	}
	for _, test := range []struct {
		name  string
		calls []call
		want  bool
	}{
		{"no call", nil, false},
		{"one failure", []call{{0, false}}, false},
		{"failures on one connection", []call{{0, false}, {time.Millisecond, false}, {time.Millisecond, false}}, false},
		{"lasting refusals", []call{{0, true}, {0, false}, {100 * time.Millisecond, false}, {100 * time.Millisecond, false}}, true},
		{"timeouts", []call{{0, false}, {700 * time.Millisecond, false}}, true},
		{"answered again", []call{{0, false}, {time.Second, false}, {time.Second, true}}, false},
		{"some calls fail", []call{{0, false}, {100 * time.Millisecond, true}, {100 * time.Millisecond, false}}, false},
		{"a second outage", []call{{0, false}, {time.Second, false}, {time.Second, true}, {time.Second, false}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d Detector
			now := time.Unix(1000, 0)
			for _, c := range test.calls {
				now = now.Add(c.after)
				d.Observe(c.success, now)
			}
			is.New(t).Equal(d.CutOff(), test.want)
		})
	}
}
