package peer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
)

func benchFeed(n int, now time.Time) *Feed[endpoint.Announcement] {
	f := NewFeed(1, func(a, b endpoint.Announcement) bool { return a.EqualExceptRefresh(b) })
	for i := range n {
		a := endpoint.Announcement{ID: fmt.Sprintf("endpoint-%04d", i), Service: "catalogue",
			Zone: "kelowna", Address: netip.MustParseAddrPort("10.0.0.1:9001"),
			Incarnation: 1767225600000000000 + int64(i), Seq: 1, State: endpoint.Ready, Slots: 8, Connections: 64}
		f.Put(a.ID, a, now.Add(-time.Duration(i%10)*100*time.Millisecond))
	}
	return f
}

func heapBytes() float64 {
	var m runtime.MemStats
	for range 3 { // the second run empties the pools of the JSON encoder
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkExchange measures one exchange between two entries that know the same
// endpoints: computing and encoding the delta at one, decoding and applying it at
// the other. It reports the encoded size of the full list (full-B), of the
// announcements of half the endpoints (deltas-B), and of a delta with refreshes only
// (digest-B).
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{100, 800, 3200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			now := time.Now()
			before := heapBytes()
			f := benchFeed(n, now)
			feedBytes := heapBytes() - before
			var m Mirror[endpoint.Announcement]
			onChange := func(a endpoint.Announcement, _ time.Time) Key { return Key{a.ID, a.Incarnation} }
			onRefresh := func(Key, time.Time) {}
			fullDelta := f.DeltaSince(Cursor{}, time.Second, now)
			m.Apply(fullDelta, now, onChange, onRefresh)
			full, _ := json.Marshal(fullDelta)
			half, _ := json.Marshal(fullDelta.Changes[:n/2])
			fullBytes, halfBytes := len(full), len(half)
			fullDelta, full, half = Delta[endpoint.Announcement]{}, nil, nil
			mirrorBytes := heapBytes() - before - feedBytes
			var encoded []byte
			for b.Loop() {
				encoded, _ = json.Marshal(f.DeltaSince(m.Cursor(), time.Second, now))
				var d Delta[endpoint.Announcement]
				if err := json.Unmarshal(encoded, &d); err != nil {
					b.Fatal(err)
				}
				m.Apply(d, now, onChange, onRefresh)
			}
			b.ReportMetric(float64(fullBytes), "full-B")
			b.ReportMetric(float64(halfBytes), "deltas-B")
			b.ReportMetric(float64(len(encoded)), "digest-B")
			b.ReportMetric(feedBytes/float64(n), "feed-B/endpoint")
			b.ReportMetric(mirrorBytes/float64(n), "mirror-B/endpoint")
			runtime.KeepAlive(f)
			runtime.KeepAlive(&m)
		})
	}
}

// BenchmarkShares measures computing the shares of 3,200 endpoints, as after a change
// of the set of entries.
func BenchmarkShares(b *testing.B) {
	for _, entries := range []int{3, 12, 24} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var names []string
			for i := range entries {
				names = append(names, fmt.Sprintf("entry-%02d", i))
			}
			for b.Loop() {
				for i := range 3200 {
					Share(fmt.Sprintf("endpoint-%04d", i), 8, names[0], names)
				}
			}
		})
	}
}
