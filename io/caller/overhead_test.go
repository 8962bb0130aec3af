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

// serveEcho is an endpoint that answers at once.
func serveEcho(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	_, _ = io.WriteString(w, "one line of an answer\n")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure sends requests one after the other and reports the median latency
// and the processor time of all parties for each.
func measure(b *testing.B, method, url string, body []byte) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	var took []time.Duration
	before := processorTime()
	for b.Loop() {
		began := time.Now()
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
		took = append(took, time.Since(began))
	}
	spent := processorTime() - before
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(spent.Microseconds())/float64(len(took)), "cpu-us/op")
}

// BenchmarkOverhead compares a direct call with one through an entry.
func BenchmarkOverhead(b *testing.B) {
	end := httptest.NewServer(http.HandlerFunc(serveEcho))
	defer end.Close()
	m := coreendpoint.NewMembership(time.Hour)
	m.Apply(coreendpoint.Announcement{ID: "endpoint-0", Service: "catalogue",
		Address: end.Listener.Addr().(*net.TCPAddr).AddrPort(), Incarnation: 1, Seq: 1,
		State: coreendpoint.Ready, Slots: 8, Connections: 64}, 0, time.Now())
	f := newFixed(0, 1, 256, time.Now())
	f.snap.Endpoints = m.View(time.Now())
	c := endpoint.NewClient(16)
	defer c.Close()
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard, JSONFormat: true})
	entry := httptest.NewServer(NewServer(f, c, log).Handler())
	defer entry.Close()
	through := entry.URL + "/services/catalogue/list"
	body := bytes.Repeat([]byte("b"), 512)
	b.Run("direct", func(b *testing.B) { measure(b, "GET", end.URL+"/list", nil) })
	b.Run("entry", func(b *testing.B) { measure(b, "GET", through, nil) })
	b.Run("direct-post", func(b *testing.B) { measure(b, "POST", end.URL+"/list", body) })
	b.Run("entry-post", func(b *testing.B) { measure(b, "POST", through, body) })
}
