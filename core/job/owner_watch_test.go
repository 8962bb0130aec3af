package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An owner that is paused, cut off or slow must keep its ownership until its lease expires,
// and a single refused connection is no proof: both owners would be at work for a moment.
func TestOwnerWatchNeedsProof(t *testing.T) {
	first, second := Ownership{Epoch: 1, Process: 10}, Ownership{Epoch: 2, Process: 20}
	for name, c := range map[string]struct {
		probes []Probe
		ended  bool
	}{
		"silence":                    {[]Probe{ProbeUnknown, ProbeUnknown, ProbeUnknown, ProbeUnknown}, false},
		"answers":                    {[]Probe{ProbeAnswered, ProbeAnswered}, false},
		"one refusal":                {[]Probe{ProbeAnswered, ProbeRefused}, false},
		"refusals with answers":      {[]Probe{ProbeRefused, ProbeAnswered, ProbeRefused}, false},
		"refusals with silence":      {[]Probe{ProbeRefused, ProbeUnknown, ProbeRefused}, false},
		"two refusals":               {[]Probe{ProbeUnknown, ProbeRefused, ProbeRefused}, true},
		"another process at address": {[]Probe{ProbeOtherProcess}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var w OwnerWatch
			ended := false
			for _, p := range c.probes {
				ended, _ = w.Observe(first, p)
			}
			is.New(t).Equal(ended, c.ended)
		})
	}
	var w OwnerWatch
	w.Observe(first, ProbeRefused)
	ended, _ := w.Observe(second, ProbeRefused) // the refusal of an earlier owner does not count
	is.New(t).True(!ended)
}

// An owner that does not answer must not be called at a high rate by all entries.
func TestOwnerWatchSlowsDown(t *testing.T) {
	is := is.New(t)
	var w OwnerWatch
	total := time.Duration(0)
	for range 20 {
		_, pause := w.Observe(Ownership{Epoch: 1}, ProbeUnknown)
		is.True(pause >= minProbeInterval && pause <= maxProbeInterval)
		total += pause
	}
	is.True(total > 10*time.Second)
	_, pause := w.Observe(Ownership{Epoch: 1}, ProbeAnswered)
	is.Equal(pause, minProbeInterval)
}
