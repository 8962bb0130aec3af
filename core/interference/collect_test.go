package interference

import (
	"math"
	"testing"
	"time"

	"rosemarygap/core/wire"

	"pgregory.net/rapid"
)

// Guards against using a duplicated or reordered report twice. It also checks that the
// interval of a measurement follows from the age of the report, and that the loads of
// all entries are added.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := NewCollector(), time.Unix(1000, 0)
		vmOf := func(string) string { return "vm" }
		newest, counted := map[string]int64{}, map[[2]any]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			entry := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry")
			seq := rapid.Int64Range(1, 6).Draw(t, "seq")
			age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
			ms := c.Collect(Report{Entry: entry, Seq: seq, Age: wire.Duration(age), Length: wire.Duration(10 * time.Second),
				Summaries: []Summary{{Service: "s", Endpoint: "e", Requests: 1, P99: 1, Load: 0.25}}}, vmOf, now)
			if isNewer := seq > newest[entry]; isNewer != (len(ms) == 1) || len(ms) == 1 && counted[[2]any{entry, seq}] {
				t.Fatalf("report %d of entry %s after report %d gave %d measurements", seq, entry, newest[entry], len(ms))
			}
			if len(ms) == 0 {
				continue
			}
			newest[entry], counted[[2]any{entry, seq}] = seq, true
			if !ms[0].To.Equal(now.Add(-age)) || ms[0].To.Sub(ms[0].From) != 10*time.Second {
				t.Fatalf("interval from %v to %v for a report of age %v", ms[0].From, ms[0].To, age)
			}
			if want := 0.25 * float64(len(newest)); ms[0].Load != want {
				t.Fatalf("load %v, want %v", ms[0].Load, want)
			}
		}
	})
}

// The 99th percentile of the recorded latencies is accurate to one bucket.
func TestRecorderP99Accuracy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecorder()
		slow := rapid.Int64Range(int64(2*time.Millisecond), int64(10*time.Second)).Draw(t, "slow")
		n := rapid.IntRange(2, 50).Draw(t, "slow requests")
		for range 1000 {
			r.Record("s", "e", 8, time.Millisecond)
		}
		for range 12 + n {
			r.Record("s", "e", 8, time.Duration(slow))
		}
		s := r.Drain(10 * time.Second)
		if len(s) != 1 || s[0].Requests != 1012+n {
			t.Fatalf("unexpected summaries: %+v", s)
		}
		if deviation := math.Abs(math.Log(float64(s[0].P99) / float64(slow))); deviation > math.Log(bucketGrowth) {
			t.Fatalf("p99 is %v, but the slow requests took %v", s[0].P99.Std(), time.Duration(slow))
		}
		if len(r.Drain(time.Second)) != 0 {
			t.Fatal("an interval was returned twice")
		}
	})
}
