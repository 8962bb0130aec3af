package platform_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"

	"github.com/matryer/is"
)

// outage is a store that is down until up.
type outage struct {
	*standin.Store
	up    time.Time
	calls []time.Time
}

func (o *outage) Put(ctx context.Context, w platform.Write) (int64, error) {
	o.calls = append(o.calls, time.Now())
	time.Sleep(time.Millisecond)
	if time.Now().Before(o.up) {
		return 0, status.ErrStoreUnavailable
	}
	return o.Store.Put(ctx, w)
}

// peak returns the most calls in any one second that begins with a call.
func peak(calls []time.Time) int {
	most, first := 0, 0
	for i, c := range calls {
		for c.Sub(calls[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// 64 cells that retry every 50 ms through an outage of an hour cost a handful
// of calls a second, and no more than the limit when the store returns.
func TestOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		up := time.Now().Add(time.Hour)
		o := &outage{Store: standin.NewStore(), up: up}
		l := platform.NewLimitedStore(o)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour+10*time.Second)
		defer cancel()
		for n := 0; ctx.Err() == nil; n++ {
			w := platform.Write{Key: fmt.Sprint(n), Value: []byte("{}")}
			if l.Put(ctx, w); n%64 == 63 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		var during, after []time.Time
		for _, c := range o.calls {
			if c.Before(up) {
				during = append(during, c)
			} else {
				after = append(after, c)
			}
		}
		t.Logf("during: %d calls, peak %d/s; after: %d calls in 10s, peak %d/s",
			len(during), peak(during), len(after), peak(after))
		is.True(len(during) <= 3600)                        // one call a second on average
		is.True(peak(after) <= platform.CallsPerSecond*3/2) // limit and burst
		is.True(len(after) > 5*platform.CallsPerSecond)     // and work goes on
	})
}
