package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: feeds whose load swings, beside two filling images of which only one
// is harmful. The harmless partner of the culprit, and the swing that all
// tasks of the feed share, must not be taken for pressure.
func TestCulpritIsFound(t *testing.T) {
	is := is.New(t)
	m := newPressureModel()
	now := time.Unix(1000, 0)
	for i := range 30 {
		swing := 0.3 + 0.4*float64(i%20)/20
		see := func(job, image, worker string, busy float64, u usage) {
			now = now.Add(100 * time.Millisecond)
			m.observe(job, image, worker, look{now, busy, u})
		}
		see("feed", "feeds", "a", swing+0.2, usage{"heavy": 2, "light": 2})
		see("feed", "feeds", "b", swing, usage{"light": 3})
		see("feed", "feeds", "c", swing, usage{})
		see("watch", "watches", "a", swing, usage{"heavy": 3})
		see("watch", "watches", "b", swing, usage{})
	}
	is.True(m.predict("feeds", usage{"heavy": 1}) > 0.08)   // the culprit
	is.True(m.predict("feeds", usage{"light": 1}) < 0.02)   // its partner
	is.True(m.predict("watches", usage{"heavy": 1}) < 0.02) // another victim
}

func TestBusy(t *testing.T) {
	for _, c := range []struct{ tail, busy float64 }{
		{0, 0}, {unloadedTail, 0}, {2 * unloadedTail, 0.5}, {1, 1 - unloadedTail}, {1000, maxBusy},
	} {
		if got := Utilization(c.tail); got != c.busy {
			t.Errorf("Busy(%v) = %v, want %v", c.tail, got, c.busy)
		}
	}
}
