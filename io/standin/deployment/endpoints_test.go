package deployment

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/io/load"
	standin "rosemarygap/io/standin/endpoint"

	"github.com/matryer/is"
)

const configPath = "../../../examples/kettle-valley.json"

// Guarantees of the interface between entries and endpoints.
const (
	// leaveTimeout is the time after which a leaving endpoint gets no new request.
	leaveTimeout = 3 * time.Second
	slotLimit    = 8
	// connectionLimit includes the connection of the test itself.
	connectionLimit = 64 + 1
)

// entryFlags make the lease of a dead entry expire soon.
var entryFlags = []string{"--lease-ttl", "1s"}

// startServing starts entries and endpoints, and waits until every entry answers
// requests for the service.
func startServing(t *testing.T, entries, endpoints int, flags ...string) (*Deployment, []*Standin) {
	t.Helper()
	d := New(t, 0)
	for range entries {
		d.StartEntry(entryFlags...)
	}
	d.Apply(ReadConfig(t, configPath), "first")
	var es []*Standin
	for i := range endpoints {
		es = append(es, d.StartEndpoint(fmt.Sprintf("endpoint-%d", i), "catalogue", "kelowna", flags...))
	}
	for _, e := range d.Entries {
		d.waitReady(e)
		d.Eventually("response of "+e.ID, readyTimeout, func() bool {
			return d.Call(http.MethodGet, e.Caller, "/services/catalogue/ping", nil, nil) == nil
		})
	}
	return d, es
}

// waitReady waits until e reports that it is ready.
func (d *Deployment) waitReady(e *Entry) {
	d.t.Helper()
	d.Eventually("readiness of "+e.ID, readyTimeout, func() bool {
		return d.Call(http.MethodGet, e.Admin, "/ready", nil, nil) == nil
	})
}

// startLoad generates load on all entries in the background. The returned function
// waits until the load ends.
func (d *Deployment) startLoad(rate float64, duration time.Duration) func() load.Result {
	p := load.Plan{Service: "catalogue", Rate: rate, Duration: duration, Deadline: 2 * time.Second, Seed: 1}
	for _, e := range d.Entries {
		p.Entries = append(p.Entries, e.Caller)
		p.ReadinessAddresses = append(p.ReadinessAddresses, e.Admin)
	}
	out := make(chan load.Result, 1)
	go func() {
		observations, _ := load.Run(context.Background(), p)
		out <- load.Summarize(observations)
	}()
	return func() load.Result { return <-out }
}

// takePeak returns the peak load of an endpoint since the last call, and resets it.
func (d *Deployment) takePeak(s *Standin) (p standin.Peak) {
	d.t.Helper()
	if err := d.Call(http.MethodGet, s.Address, "/control/peak", nil, &p); err != nil {
		d.t.Fatal(err)
	}
	return p
}

// sendAnnouncement sends an announcement of an endpoint to one entry.
func (d *Deployment) sendAnnouncement(to netip.AddrPort, a endpoint.Announcement) {
	_ = d.Call(http.MethodPost, to, "/announcements/endpoints", a, nil)
}

// A leaving endpoint must get no new request after leaveTimeout. One entry is
// frozen when the endpoint announces that it leaves, and later resumes without
// having received that announcement. Old announcements arrive late at all entries.
func TestLeavingEndpointGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, es := startServing(t, 3, 3)
	defer d.KillAll()
	frozen, leaving := d.Entries[2], es[0]
	var old endpoint.Announcement
	is.NoErr(d.Call(http.MethodGet, leaving.Address, "/control/announcement", nil, &old))
	wait := d.startLoad(300, 13*time.Second)
	time.Sleep(time.Second)
	is.True(d.takePeak(leaving).LastAge.Std() < time.Second) // the endpoint gets requests before it leaves

	frozen.Freeze()
	d.SetFaults(leaving.Address, "/control/faults", standin.Faults{Leaving: true})
	began := time.Now()
	// An announcement to the frozen entry times out after 1 s, which delays the
	// announcements to the other entries.
	time.Sleep(2 * time.Second)
	d.SetFaults(leaving.Address, "/control/faults", standin.Faults{Silent: true})
	time.Sleep(time.Until(began.Add(leaveTimeout)))
	cutoff := time.Now()
	time.Sleep(2 * time.Second)
	frozen.Resume()
	d.sendAnnouncement(frozen.Caller, old)
	old.Uptime = 0 // an endpoint that does not report its uptime sends 0
	for _, e := range d.Entries {
		old.Seq += 1000
		d.sendAnnouncement(e.Caller, old)
	}
	wait()
	is.True(d.takePeak(leaving).LastAge.Std() >= time.Since(cutoff)) // no request after leaveTimeout
}

// An endpoint that stops sending announcements must get no requests after the time
// to live of its last one. A new endpoint must get requests within 2 s.
func TestVanishedAndNewEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, es := startServing(t, 2, 2)
	defer d.KillAll()
	ttl := ReadConfig(t, configPath).Timings.AnnouncementTTL.Std()
	wait := d.startLoad(300, 8*time.Second)
	d.SetFaults(es[0].Address, "/control/faults", standin.Faults{Silent: true})
	time.Sleep(ttl + 500*time.Millisecond)
	cutoff := time.Now()
	added := d.StartEndpoint("endpoint-new", "catalogue", "vernon")
	began := time.Now()
	d.Eventually("requests to the new endpoint", 2*time.Second, func() bool { return d.takePeak(added).Requests > 0 })
	t.Logf("new endpoint got its first request after %v", time.Since(began))
	wait()
	is.True(d.takePeak(es[0]).LastAge.Std() >= time.Since(cutoff))
}

// No request may fail during a rolling replacement of every entry and every
// endpoint.
func TestRollingReplacementFailsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, es := startServing(t, 3, 4)
	defer d.KillAll()
	wait := d.startLoad(200, 14*time.Second)
	var wg sync.WaitGroup
	for i, e := range es {
		d.StartEndpoint(fmt.Sprintf("next-%d", i), "catalogue", "vernon")
		wg.Go(func() {
			time.Sleep(time.Duration(1+i) * time.Second)
			e.BeginStop()
		})
	}
	for _, e := range d.Entries {
		is.NoErr(e.Stop())
		d.RestartEntry(e, entryFlags...)
		d.waitReady(e)
	}
	wg.Wait()
	r := wait()
	t.Logf("%+v", r)
	is.Equal(r.ValidAnswers, r.Requests)
}

// All entries together must respect the limits of slots and connections of each
// endpoint while one entry joins, one is frozen and resumes, and one is killed.
func TestSlotsHoldAcrossEntries(t *testing.T) {
	t.Parallel()
	d, es := startServing(t, 3, 2, "--service-time", "40ms")
	defer d.KillAll()
	wait := d.startLoad(600, 18*time.Second)
	d.checkAllSlotsUsed(es)
	d.StartEntry(entryFlags...)
	waitNew := d.startLoad(200, 15*time.Second)
	time.Sleep(2 * time.Second)
	d.Entries[1].Freeze()
	time.Sleep(7 * time.Second)
	d.checkAllSlotsUsed(es) // the other entries take over the share of the frozen entry
	d.Entries[1].Resume()
	time.Sleep(2 * time.Second)
	d.Entries[0].Kill()
	wait()
	waitNew()
	d.checkLimits(es)
}

// checkAllSlotsUsed fails the test unless, in one of four windows of 1 s, the peak
// of each endpoint reaches its number of slots. The limits must hold in each
// window.
func (d *Deployment) checkAllSlotsUsed(es []*Standin) {
	d.t.Helper()
	d.checkLimits(es)
	most := 0
	for range 4 {
		time.Sleep(time.Second)
		if most = max(most, d.checkLimits(es)); most == len(es)*slotLimit {
			return
		}
	}
	d.t.Fatalf("the peaks of the slots in use at the endpoints added up to at most %d", most)
}

// checkLimits fails the test if the load of an endpoint exceeded its limits since
// the last call. It returns the sum of the peak numbers of concurrent requests.
func (d *Deployment) checkLimits(es []*Standin) int {
	d.t.Helper()
	total := 0
	for _, e := range es {
		p := d.takePeak(e)
		total += p.Requests
		if p.Requests > slotLimit || p.Refused > 0 || p.Connections > connectionLimit {
			d.t.Fatalf("load of %s exceeded its limits: %+v", e.ID, p)
		}
	}
	return total
}
