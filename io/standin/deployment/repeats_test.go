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

// book sends one booking and returns the outcome that its caller was told;
// "" if the connection broke or was refused.
func book(c *http.Client, to netip.AddrPort, id string) (o caller.Outcome, code string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/services/catalogue/booking",
		io.NopCloser(bytes.NewReader([]byte("booking"))))
	if err != nil {
		return "", ""
	}
	r.Header.Set(iocaller.HeaderRequestID, id)
	r.Header.Set(iocaller.HeaderIdempotent, "false")
	w, err := c.Do(r)
	if err != nil {
		return "", ""
	}
	defer w.Body.Close()
	if _, err := io.ReadAll(w.Body); err != nil {
		return "", ""
	}
	o = caller.Outcome(w.Header.Get(iocaller.HeaderOutcome))
	return o, w.Header.Get(iocaller.HeaderCode)
}

// awaitBookings waits until each entry answers a booking.
func awaitBookings(d *Deployment, c *http.Client) {
	for _, e := range d.Entries {
		d.Eventually("a first booking at "+e.ID, 10*time.Second, func() bool {
			o, _ := book(c, e.Caller, uuid.Must(uuid.NewV7()).String())
			return o == caller.Answered
		})
	}
}

// bookings sends every id several times through all entries in turn, as a
// caller or balancer does that gets no answer in time.
type bookings struct {
	mu   sync.Mutex
	told map[string][]caller.Outcome
	// codes are those of the first answers.
	codes map[string]string
	wg    sync.WaitGroup
}

func (b *bookings) send(d *Deployment, c *http.Client, id string, first int) {
	b.wg.Go(func() {
		for i := range 3 {
			o, code := book(c, d.Entries[(first+i)%len(d.Entries)].Caller, id)
			b.mu.Lock()
			b.told[id] = append(b.told[id], o)
			if i == 0 {
				b.codes[id] = code
			}
			b.mu.Unlock()
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// A booking whose id is repeated through several entries runs at most once,
// and is told not-run only if it did not run, while one entry is killed and
// another one freezes and wakes.
func TestRepeatedBookingsRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := New(t, 3)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	var ends []*Standin
	for i := range 2 {
		ends = append(ends, d.StartEndpoint(fmt.Sprint("endpoint-", i), "catalogue", "kelowna",
			"--service-time", "30ms", "--seed", fmt.Sprint(i+1)))
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	awaitBookings(d, c)
	// The entries' views of one another settle: lease and clock skew.
	time.Sleep(9 * time.Second)
	// healthy is how many bookings are sent well before the first fault.
	const healthy = 85
	var early []string
	b := &bookings{told: map[string][]caller.Outcome{}, codes: map[string]string{}}
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
		if i < healthy {
			early = append(early, id)
		}
		b.send(d, c, id, i)
		time.Sleep(15 * time.Millisecond)
	}
	b.wg.Wait()
	ran := map[string]int{}
	for _, e := range ends {
		var journal map[string]int
		is.NoErr(d.Call(http.MethodGet, e.Address, "/control/ran", nil, &journal))
		for id, n := range journal {
			ran[id] += n
		}
		e.Kill()
	}
	answered := 0
	for id, told := range b.told {
		if ran[id] > 1 {
			t.Errorf("%s ran %d times, told %v", id, ran[id], told)
		}
		if ran[id] > 0 && told[len(told)-1] == caller.NotRun {
			t.Errorf("%s ran and was told not-run: %v", id, told)
		}
		if slices.Contains(told, caller.Answered) {
			answered++
		}
	}
	t.Logf("%d of %d bookings were answered", answered, len(b.told))
	for _, id := range early {
		if b.told[id][0] != caller.Answered {
			t.Errorf("%s with all entries healthy: %v %s", id, b.told[id], b.codes[id])
		}
	}
}

// While the store is down and all entries are up, bookings go on, and a repeat
// through another entry is still recognised.
func TestBookingsGoOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := New(t, 3)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	end := d.StartEndpoint("endpoint-0", "catalogue", "kelowna")
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	awaitBookings(d, c)
	time.Sleep(4 * time.Second) // two keep-alives: all know the same members
	d.SetFaults(d.Store.Address, "/faults", map[string]bool{"down": true})
	time.Sleep(6 * time.Second) // longer than the entries' leases
	for i := range 30 {
		id := uuid.Must(uuid.NewV7()).String()
		if i%2 == 0 {
			id = fmt.Sprint("outage-", i)
		}
		o, code := book(c, d.Entries[i%3].Caller, id)
		if o != caller.Answered {
			t.Errorf("%s in the outage: %s %s", id, o, code)
		}
		o, code = book(c, d.Entries[(i+1)%3].Caller, id)
		if o != caller.Unknown || code != "repeated-request" {
			t.Errorf("%s repeated in the outage: %s %s", id, o, code)
		}
	}
	var ran map[string]int
	is.NoErr(d.Call(http.MethodGet, end.Address, "/control/ran", nil, &ran))
	for id, n := range ran {
		is.Equal(n, 1)
		is.True(id != "")
	}
	end.Kill()
}

// Three attempts with one id that reach three entries at the same moment: one
// of them is answered. Nothing else may go wrong, since all entries are up.
func TestSimultaneousRepeatsAreAnswered(t *testing.T) {
	t.Parallel()
	d := New(t, 3)
	d.Apply(ReadConfig(t, "../../../examples/kettle-valley.json"), "first")
	d.StartEndpoint("endpoint-0", "catalogue", "kelowna")
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	awaitBookings(d, c)
	time.Sleep(9 * time.Second) // the entries' views of one another settle
	const ids = 60
	answered := 0
	for range ids {
		id := uuid.Must(uuid.NewV7()).String()
		var wg sync.WaitGroup
		told := make([]caller.Outcome, len(d.Entries))
		for i, e := range d.Entries {
			wg.Go(func() { told[i], _ = book(c, e.Caller, id) })
		}
		wg.Wait()
		if slices.Contains(told, caller.Answered) {
			answered++
		}
	}
	if answered < ids {
		t.Errorf("%d of %d ids were answered to one of three simultaneous attempts", answered, ids)
	}
}
