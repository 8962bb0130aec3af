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

const config = "../../../examples/kettle-valley.json"

// Promises of the interface, from the brief.
const (
	leaveLimit = 3 * time.Second
	slotLimit  = 8
	// connectionLimit leaves out the connection of the test itself.
	connectionLimit = 64 + 1
)

// entryFlags let the registration of a dead entry lapse soon.
var entryFlags = []string{"--lease-ttl", "1s"}

// serving starts entries and endpoints and waits until every entry answers.
func serving(t *testing.T, entries, endpoints int, flags ...string) (*Deployment, []*Standin) {
	t.Helper()
	d := New(t, 0)
	for range entries {
		d.StartEntry(entryFlags...)
	}
	d.Apply(ReadConfig(t, config), "first")
	var es []*Standin
	for i := range endpoints {
		es = append(es, d.StartEndpoint(fmt.Sprintf("endpoint-%d", i), "catalogue", "kelowna", flags...))
	}
	for _, e := range d.Entries {
		d.ready(e)
		d.Eventually("answer of "+e.ID, readyWait, func() bool {
			return d.Call(http.MethodGet, e.Caller, "/services/catalogue/ping", nil, nil) == nil
		})
	}
	return d, es
}

func (d *Deployment) ready(e *Entry) {
	d.t.Helper()
	d.Eventually("ready "+e.ID, readyWait, func() bool {
		return d.Call(http.MethodGet, e.Admin, "/ready", nil, nil) == nil
	})
}

// drive runs a load in the background; the result waits for its end.
func (d *Deployment) drive(rate float64, long time.Duration) func() load.Result {
	p := load.Plan{Service: "catalogue", Rate: rate, Duration: long, Deadline: 2 * time.Second, Seed: 1}
	for _, e := range d.Entries {
		p.Entries = append(p.Entries, e.Caller)
		p.ReadinessAddresses = append(p.ReadinessAddresses, e.Admin)
	}
	out := make(chan load.Result, 1)
	go func() {
		os, _ := load.Run(context.Background(), p)
		out <- load.Summarize(os)
	}()
	return func() load.Result { return <-out }
}

func (d *Deployment) peak(s *Standin) (p standin.Peak) {
	d.t.Helper()
	if err := d.Call(http.MethodGet, s.Address, "/control/peak", nil, &p); err != nil {
		d.t.Fatal(err)
	}
	return p
}

// announceTo sends an announcement straight to an entry.
func (d *Deployment) announceTo(to netip.AddrPort, a endpoint.Announcement) {
	_ = d.Call(http.MethodPost, to, "/announcements/endpoints", a, nil)
}

// An endpoint that leaves gets no new request after 3 s, although one entry
// was frozen, heard nothing and wakes later, and old announcements come late.
func TestLeavingEndpointGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, es := serving(t, 3, 3)
	defer d.KillAll()
	frozen, gone := d.Entries[2], es[0]
	var old endpoint.Announcement
	is.NoErr(d.Call(http.MethodGet, gone.Address, "/control/announcement", nil, &old))
	wait := d.drive(300, 13*time.Second)
	time.Sleep(time.Second)
	is.True(d.peak(gone).LastAge.Std() < time.Second) // it serves before

	frozen.Freeze()
	d.SetFaults(gone.Address, "/control/faults", standin.Faults{Leaving: true})
	began := time.Now()
	// An announcement to the frozen entry takes a second to give up.
	time.Sleep(2 * time.Second)
	d.SetFaults(gone.Address, "/control/faults", standin.Faults{Silent: true})
	time.Sleep(time.Until(began.Add(leaveLimit)))
	quiet := time.Now()
	time.Sleep(2 * time.Second)
	frozen.Resume()
	d.announceTo(frozen.Caller, old)
	old.Uptime = 0 // as from an endpoint that does not tell it
	for _, e := range d.Entries {
		old.Seq += 1000
		d.announceTo(e.Caller, old)
	}
	wait()
	is.True(d.peak(gone).LastAge.Std() >= time.Since(quiet)) // no request after the limit
}

// An endpoint that vanishes without a word is out of use within its time to
// live, and a new one gets work within 2 s.
func TestVanishedAndNewEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, es := serving(t, 2, 2)
	defer d.KillAll()
	ttl := ReadConfig(t, config).Timings.AnnouncementTTL.Std()
	wait := d.drive(300, 8*time.Second)
	d.SetFaults(es[0].Address, "/control/faults", standin.Faults{Silent: true})
	time.Sleep(ttl + 500*time.Millisecond)
	quiet := time.Now()
	fresh := d.StartEndpoint("endpoint-new", "catalogue", "vernon")
	began := time.Now()
	d.Eventually("work for the new endpoint", 2*time.Second, func() bool { return d.peak(fresh).Requests > 0 })
	t.Logf("new endpoint got work after %v", time.Since(began))
	wait()
	is.True(d.peak(es[0]).LastAge.Std() >= time.Since(quiet))
}

// A rolling replacement of every entry and every endpoint fails no request.
func TestRollingReplacementFailsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, es := serving(t, 3, 4)
	defer d.KillAll()
	wait := d.drive(200, 14*time.Second)
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
		d.ready(e)
	}
	wg.Wait()
	r := wait()
	t.Logf("%+v", r)
	is.Equal(r.ValidAnswers, r.Requests)
}

// An endpoint's slots and connections hold with all entries together while
// one joins, one is frozen and wakes, and one is killed.
func TestSlotsHoldAcrossEntries(t *testing.T) {
	t.Parallel()
	d, es := serving(t, 3, 2, "--service-time", "40ms")
	defer d.KillAll()
	wait := d.drive(600, 18*time.Second)
	d.allInUse(es)
	d.StartEntry(entryFlags...)
	waitNew := d.drive(200, 15*time.Second)
	time.Sleep(2 * time.Second)
	d.Entries[1].Freeze()
	time.Sleep(7 * time.Second)
	d.allInUse(es) // the others use the frozen one's share
	d.Entries[1].Resume()
	time.Sleep(2 * time.Second)
	d.Entries[0].Kill()
	wait()
	waitNew()
	d.holds(es)
}

// allInUse fails the test unless all slots of all endpoints are in use at
// once within a few windows of a second. Each window must hold the limits.
func (d *Deployment) allInUse(es []*Standin) {
	d.t.Helper()
	d.holds(es)
	most := 0
	for range 4 {
		time.Sleep(time.Second)
		if most = max(most, d.holds(es)); most == len(es)*slotLimit {
			return
		}
	}
	d.t.Fatalf("at most %d slots in use at once", most)
}

// holds fails the test if an endpoint met more than its limits since the last
// call, and returns the sum of the peaks of requests.
func (d *Deployment) holds(es []*Standin) int {
	d.t.Helper()
	total := 0
	for _, e := range es {
		p := d.peak(e)
		total += p.Requests
		if p.Requests > slotLimit || p.Refused > 0 || p.Connections > connectionLimit {
			d.t.Fatalf("%s met %+v", e.ID, p)
		}
	}
	return total
}
