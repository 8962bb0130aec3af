package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/io/endpoint"

	"github.com/hashicorp/go-hclog"
)

// serveFixedResponse is an endpoint that responds at once with one line.
func serveFixedResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	_, _ = io.WriteString(w, "one line of an answer\n")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkRequests sends requests one after another. It reports the median
// latency, and the CPU time per request of client, entry and endpoint together.
func benchmarkRequests(b *testing.B, method, url string, body []byte) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	var latencies []time.Duration
	cpuBefore := cpuTime()
	for b.Loop() {
		startedAt := time.Now()
		r, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		w, err := c.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, w.Body)
		w.Body.Close()
		latencies = append(latencies, time.Since(startedAt))
	}
	cpuUsed := cpuTime() - cpuBefore
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(len(latencies)), "cpu-us/op")
}

// BenchmarkOverhead compares requests sent directly to an endpoint with requests
// sent through an entry.
func BenchmarkOverhead(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(serveFixedResponse))
	defer backend.Close()
	m := coreendpoint.NewMembership(time.Hour)
	m.Apply(coreendpoint.Announcement{ID: "endpoint-0", Service: "catalogue",
		Address: backend.Listener.Addr().(*net.TCPAddr).AddrPort(), Incarnation: 1, Seq: 1,
		State: coreendpoint.Ready, Slots: 8, Connections: 64}, 0, time.Now())
	control := newFakeControl(0, 1, 256, time.Now())
	control.snap.Endpoints = m.View(time.Now())
	c := endpoint.NewClient(16)
	defer c.Close()
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard, JSONFormat: true})
	entry := httptest.NewServer(NewServer(control, c, log).Handler())
	defer entry.Close()
	entryURL := entry.URL + "/services/catalogue/list"
	body := bytes.Repeat([]byte("b"), 512)
	b.Run("direct", func(b *testing.B) { benchmarkRequests(b, "GET", backend.URL+"/list", nil) })
	b.Run("entry", func(b *testing.B) { benchmarkRequests(b, "GET", entryURL, nil) })
	b.Run("direct-post", func(b *testing.B) { benchmarkRequests(b, "POST", backend.URL+"/list", body) })
	b.Run("entry-post", func(b *testing.B) { benchmarkRequests(b, "POST", entryURL, body) })
}
