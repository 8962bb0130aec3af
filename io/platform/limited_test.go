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

// failingStore is a store whose writes fail until recoversAt.
type failingStore struct {
	*standin.Store
	recoversAt time.Time
	calls      []time.Time
}

func (s *failingStore) Put(ctx context.Context, w platform.Write) (int64, error) {
	s.calls = append(s.calls, time.Now())
	time.Sleep(time.Millisecond)
	if time.Now().Before(s.recoversAt) {
		return 0, status.ErrStoreUnavailable
	}
	return s.Store.Put(ctx, w)
}

// maxCallsPerSecond returns the maximum number of calls in any one second that
// begins with a call.
func maxCallsPerSecond(calls []time.Time) int {
	most, first := 0, 0
	for i, c := range calls {
		for c.Sub(calls[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// 64 cells retry a write every 50 ms during an outage of one hour. The store must
// get at most one call per second on average during the outage, and no more calls
// than the limit after it recovers.
func TestOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recoversAt := time.Now().Add(time.Hour)
		store := &failingStore{Store: standin.NewStore(), recoversAt: recoversAt}
		l := platform.NewLimitedStore(store)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour+10*time.Second)
		defer cancel()
		for n := 0; ctx.Err() == nil; n++ {
			w := platform.Write{Key: fmt.Sprint(n), Value: []byte("{}")}
			if l.Put(ctx, w); n%64 == 63 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		var during, after []time.Time
		for _, c := range store.calls {
			if c.Before(recoversAt) {
				during = append(during, c)
			} else {
				after = append(after, c)
			}
		}
		t.Logf("during: %d calls, peak %d/s; after: %d calls in 10s, peak %d/s",
			len(during), maxCallsPerSecond(during), len(after), maxCallsPerSecond(after))
		is.True(len(during) <= 3600)                                     // one call per second on average
		is.True(maxCallsPerSecond(after) <= platform.CallsPerSecond*3/2) // rate limit plus burst
		is.True(len(after) > 5*platform.CallsPerSecond)                  // calls are sent again
	})
}
