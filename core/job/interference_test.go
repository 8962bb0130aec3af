package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Only the image that interferes gets an effect. Serving tasks with a varying
// load run beside two best-effort images of which one interferes. Neither the
// other image, which runs on the same worker, nor the varying load that all
// tasks of the serving job share may count as interference.
func TestInterferingImageIdentified(t *testing.T) {
	is := is.New(t)
	m := newInterferenceModel()
	now := time.Unix(1000, 0)
	for i := range 30 {
		load := 0.3 + 0.4*float64(i%20)/20
		observe := func(job, image, worker string, utilization float64, u usage) {
			now = now.Add(100 * time.Millisecond)
			m.observe(job, image, worker, utilizationSample{now, utilization, u})
		}
		observe("feed", "feeds", "a", load+0.2, usage{"heavy": 2, "light": 2})
		observe("feed", "feeds", "b", load, usage{"light": 3})
		observe("feed", "feeds", "c", load, usage{})
		observe("watch", "watches", "a", load, usage{"heavy": 3})
		observe("watch", "watches", "b", load, usage{})
	}
	is.True(m.predict("feeds", usage{"heavy": 1}) > 0.08)   // the interfering image
	is.True(m.predict("feeds", usage{"light": 1}) < 0.02)   // the image beside it
	is.True(m.predict("watches", usage{"heavy": 1}) < 0.02) // another serving image
}

func TestUtilization(t *testing.T) {
	for _, test := range []struct{ tail, utilization float64 }{
		{0, 0}, {unloadedTailShare, 0}, {2 * unloadedTailShare, 0.5}, {1, 1 - unloadedTailShare}, {1000, maxInferredUtilization},
	} {
		if got := Utilization(test.tail); got != test.utilization {
			t.Errorf("Utilization(%v) = %v, want %v", test.tail, got, test.utilization)
		}
	}
}
