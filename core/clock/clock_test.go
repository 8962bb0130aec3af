package clock_test

import (
	"testing"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/clock/clocktest"

	"github.com/matryer/is"
)

// A deadline that passed while the VM was suspended must have expired, although the
// monotonic clock shows no time since it was set.
func TestDeadlinesExpireInSuspension(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var d clock.Deadline
	d.Set(now.Add(time.Second))
	woken := clocktest.AfterSuspension(now, 3*time.Second)
	is.True(!d.Expired(now))
	is.True(d.Expired(woken))
	is.True(clock.Expired(now.Add(time.Second), woken))
	is.Equal(clock.Elapsed(now, woken), 3*time.Second)
}
