package deployment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"rosemarygap/core/caller"
	iocaller "rosemarygap/io/caller"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

// sendBooking sends one booking and returns the outcome and the error code from
// the response. Both are empty if no complete response arrived in time.
func sendBooking(c *http.Client, to netip.AddrPort, id string) (o caller.Outcome, code string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/services/catalogue/booking",
		io.NopCloser(bytes.NewReader([]byte("booking"))))
	if err != nil {
		return "", ""
	}
	req.Header.Set(iocaller.HeaderRequestID, id)
	req.Header.Set(iocaller.HeaderIdempotent, "false")
	resp, err := c.Do(req)
	if err != nil {
		return "", ""
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return "", ""
	}
	o = caller.Outcome(resp.Header.Get(iocaller.HeaderOutcome))
	return o, resp.Header.Get(iocaller.HeaderCode)
}

// waitForBookings waits until each entry answers a booking.
func waitForBookings(d *Deployment, c *http.Client) {
	for _, e := range d.Entries {
		d.Eventually("first booking at "+e.ID, 10*time.Second, func() bool {
			o, _ := sendBooking(c, e.Caller, uuid.Must(uuid.NewV7()).String())
			return o == caller.Answered
		})
	}
}

// bookingResults collects the results of repeated bookings. The field outcomes maps
// each id to the outcomes of its attempts.
type bookingResults struct {
	mu       sync.Mutex
	outcomes map[string][]caller.Outcome
	// firstCodes maps each id to the error code of its first attempt.
	firstCodes map[string]string
	wg         sync.WaitGroup
}

// sendRepeatedly sends the booking id three times in the background, through the
// entries in turn beginning with first. A caller or load balancer does the same
// after a timeout.
func (b *bookingResults) sendRepeatedly(d *Deployment, c *http.Client, id string, first int) {
	b.wg.Go(func() {
		for i := range 3 {
			o, code := sendBooking(c, d.Entries[(first+i)%len(d.Entries)].Caller, id)
			b.mu.Lock()
			b.outcomes[id] = append(b.outcomes[id], o)
			if i == 0 {
				b.firstCodes[id] = code
			}
			b.mu.Unlock()
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// A booking whose id is repeated through several entries must run at most once, and
// the outcome not-run must be reported only if the booking did not run. One entry
// is killed in the test, and another one is frozen and resumes.
func TestRepeatedBookingsRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := New(t, 3)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	var endpoints []*Standin
	for i := range 2 {
		endpoints = append(endpoints, d.StartEndpoint(fmt.Sprint("endpoint-", i), "catalogue", "kelowna",
			"--service-time", "30ms", "--seed", fmt.Sprint(i+1)))
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	waitForBookings(d, c)
	// Wait for the lease TTL and the clock skew, after which all entries have the
	// same view of the set of live entries.
	time.Sleep(9 * time.Second)
	// healthyCount is the number of bookings sent well before the first fault.
	const healthyCount = 85
	var healthyIDs []string
	b := &bookingResults{outcomes: map[string][]caller.Outcome{}, firstCodes: map[string]string{}}
	for i := range 300 {
		switch i {
		case 100:
			d.Entries[1].Freeze()
		case 160:
			d.Entries[0].Kill()
		case 240:
			d.Entries[1].Resume()
		}
		id := uuid.Must(uuid.NewV7()).String()
		if i%2 == 0 {
			id = fmt.Sprint("booking-", i)
		}
		if i < healthyCount {
			healthyIDs = append(healthyIDs, id)
		}
		b.sendRepeatedly(d, c, id, i)
		time.Sleep(15 * time.Millisecond)
	}
	b.wg.Wait()
	runCounts := map[string]int{}
	for _, e := range endpoints {
		var counts map[string]int
		is.NoErr(d.Call(http.MethodGet, e.Address, "/control/ran", nil, &counts))
		for id, n := range counts {
			runCounts[id] += n
		}
		e.Kill()
	}
	answered := 0
	for id, outcomes := range b.outcomes {
		if runCounts[id] > 1 {
			t.Errorf("%s ran %d times; reported outcomes %v", id, runCounts[id], outcomes)
		}
		if runCounts[id] > 0 && outcomes[len(outcomes)-1] == caller.NotRun {
			t.Errorf("%s ran, but was reported as not-run: %v", id, outcomes)
		}
		if slices.Contains(outcomes, caller.Answered) {
			answered++
		}
	}
	t.Logf("%d of %d bookings were answered", answered, len(b.outcomes))
	for _, id := range healthyIDs {
		if b.outcomes[id][0] != caller.Answered {
			t.Errorf("%s was not answered with all entries healthy: %v %s", id, b.outcomes[id], b.firstCodes[id])
		}
	}
}

// While the store is down and all entries are up, bookings must be answered, and a
// repeated id at another entry must still be detected.
func TestBookingsGoOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := New(t, 3)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	endpoint := d.StartEndpoint("endpoint-0", "catalogue", "kelowna")
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	waitForBookings(d, c)
	time.Sleep(4 * time.Second) // after two keep-alives, all entries know the same live entries
	d.SetFaults(d.Store.Address, "/faults", map[string]bool{"down": true})
	time.Sleep(6 * time.Second) // longer than the leases of the entries
	for i := range 30 {
		id := uuid.Must(uuid.NewV7()).String()
		if i%2 == 0 {
			id = fmt.Sprint("outage-", i)
		}
		o, code := sendBooking(c, d.Entries[i%3].Caller, id)
		if o != caller.Answered {
			t.Errorf("booking %s during the outage: %s %s", id, o, code)
		}
		o, code = sendBooking(c, d.Entries[(i+1)%3].Caller, id)
		if o != caller.Unknown || code != "repeated-request" {
			t.Errorf("repeated booking %s during the outage: %s %s", id, o, code)
		}
	}
	var runCounts map[string]int
	is.NoErr(d.Call(http.MethodGet, endpoint.Address, "/control/ran", nil, &runCounts))
	for id, n := range runCounts {
		is.Equal(n, 1)
		is.True(id != "")
	}
	endpoint.Kill()
}

// Of three attempts with one id that reach three entries at the same time, one must
// be answered. All entries are up, so there is no other reason for a failure.
func TestSimultaneousRepeatsAreAnswered(t *testing.T) {
	t.Parallel()
	d := New(t, 3)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	d.StartEndpoint("endpoint-0", "catalogue", "kelowna")
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	waitForBookings(d, c)
	time.Sleep(9 * time.Second) // then all entries have the same view of the set of live entries
	const ids = 60
	answered := 0
	for range ids {
		id := uuid.Must(uuid.NewV7()).String()
		var wg sync.WaitGroup
		outcomes := make([]caller.Outcome, len(d.Entries))
		for i, e := range d.Entries {
			wg.Go(func() { outcomes[i], _ = sendBooking(c, e.Caller, id) })
		}
		wg.Wait()
		if slices.Contains(outcomes, caller.Answered) {
			answered++
		}
	}
	if answered < ids {
		t.Errorf("one of three simultaneous attempts was answered for only %d of %d ids", answered, ids)
	}
}
