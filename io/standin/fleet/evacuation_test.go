package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
)

// Zones of TestSoakEvacuations, and the bound on their evacuation. It is shorter than
// on the platform, so that several evacuations fit into a run.
const (
	soakZones           = 3
	soakEvacuationDelay = 3 * time.Second
)

// evacuate evacuates a zone as the operator does, reopen ends that.
func (r *testRun) evacuate(zone string) {
	r.store.Put(platform.EvacuationKey(zone), []byte("{}"))
	r.ledger.RecordEvacuation(zone, r.evacuationDelay)
}

func (r *testRun) reopen(zone string) {
	r.ledger.RecordReopening(zone)
	r.store.Delete(platform.EvacuationKey(zone))
}

// evacuateZones evacuates and reopens one zone after the other, and sometimes all at
// once, until stop is closed. It has its own random numbers, so that the faults of a seed
// are those of TestSoak.
func (r *testRun) evacuateZones(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 1))
	pause := func(least, spread int) bool {
		select {
		case <-stop:
			return false
		case <-time.After(time.Duration(least+rng.IntN(spread)) * time.Millisecond):
			return true
		}
	}
	for pause(100, 1000) {
		zones := []string{zoneName(rng.IntN(r.zones))}
		if rng.IntN(5) == 0 {
			zones = nil
			for n := range r.zones {
				zones = append(zones, zoneName(n))
			}
		}
		for _, zone := range zones {
			r.evacuate(zone)
		}
		pause(3500, 2500)
		for _, zone := range zones {
			r.reopen(zone)
		}
	}
}

// findOwner returns the process of the scheduler that is the owner, or was last, or nil.
func (r *testRun) findOwner() *process {
	i, _, err := r.store.Get(job.KeyOwner)
	var o job.Ownership
	if err != nil || json.Unmarshal(i.Value, &o) != nil {
		return nil
	}
	for _, p := range r.schedulers {
		if p.name == o.Holder {
			return p
		}
	}
	return nil
}

// ownerProcess is findOwner, and fails the test if there is none.
func (r *testRun) ownerProcess() *process {
	p := r.findOwner()
	if p == nil {
		r.t.Fatal("no scheduler is the owner")
	}
	return p
}

// TestEvacuationUnderLoad checks that a zone stays evacuated while the owner is killed in
// the middle of the evacuation under load, that the other zone goes on, and that tasks
// start in the zone again once it is reopened.
func TestEvacuationUnderLoad(t *testing.T) {
	r := newTestRun(t, 60008, 3, 4, withZones(2, soakEvacuationDelay))
	c := &http.Client{}
	defer c.CloseIdleConnections()
	r.awaitReady(c)
	r.awaitFirstJob(c)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { r.sendJobs(60008, stop) })
	time.Sleep(2 * time.Second)
	evacuated, other := zoneName(0), zoneName(1)
	if r.ledger.StartsIn(evacuated) == 0 {
		t.Error("nothing started in the zone before its evacuation")
	}
	r.evacuate(evacuated)
	time.Sleep(500 * time.Millisecond)
	killed := r.ownerProcess()
	killed.signal(syscall.SIGKILL)
	time.Sleep(soakEvacuationDelay)
	inEvacuated, inOther := r.ledger.StartsIn(evacuated), r.ledger.StartsIn(other)
	time.Sleep(3 * time.Second)
	if n := r.ledger.StartsIn(evacuated) - inEvacuated; n > 0 {
		t.Errorf("%d starts in the evacuated zone", n)
	}
	if r.ledger.StartsIn(other) == inOther {
		t.Error("no start in the other zone")
	}
	r.reopen(evacuated)
	for end := time.Now().Add(5 * time.Second); r.ledger.StartsIn(evacuated) == inEvacuated; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no start in the reopened zone")
		}
	}
	r.start(killed)
	close(stop)
	wg.Wait()
	r.healAndWait()
	r.checkResults()
	for _, event := range []string{`"event":7040`, `"event":7041`} {
		found := false
		for _, p := range r.schedulers {
			b, err := os.ReadFile(p.log)
			if err != nil {
				t.Fatal(err)
			}
			found = found || strings.Contains(string(b), event)
		}
		if !found {
			t.Errorf("no scheduler logged %s", event)
		}
	}
}
