package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/peer"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"

	"github.com/hashicorp/go-hclog"
)

const testTarget = 100 * time.Millisecond

// shared is two entries, one of which owns a cell of three workers that share
// their VMs with endpoints.
type shared struct {
	owner, other *control
	driver       *worker.Driver
	now          time.Time
	// throttles are the limits that reached workers, by job.
	throttles map[string]int
}

func newShared() *shared {
	s := &shared{now: time.Unix(1000, 0), throttles: map[string]int{}}
	doc := operator.Document{Cells: 1, Services: []operator.Service{
		{Name: "catalogue", LatencyTarget: wire.Duration(testTarget)}}}
	address := netip.MustParseAddrPort("127.0.0.1:1")
	for _, c := range []**control{&s.owner, &s.other} {
		*c = newControl(Options{ID: fmt.Sprintf("%p", c), PeerListen: address}, hclog.NewNullLogger(), nil)
		(*c).config = &operator.AcceptedConfig{Revision: 1, Document: doc}
	}
	cell := worker.NewCell(0, worker.Timings{Grant: time.Minute, Hold: time.Hour})
	s.driver = worker.NewDriver(cell, "owner", func() string { return "n" })
	s.driver.OpeningBatch(1, s.now)
	cell.Open(1, s.now)
	s.owner.cells.Put(0, cellRun{owned: true, driver: s.driver})
	for i := range 3 {
		id := fmt.Sprint("w", i)
		s.owner.heardWorker(peer.WorkerAnnouncement{ID: id, Address: address, VM: fmt.Sprint("vm", i)}, s.now, s.now)
	}
	return s
}

// second lets a second pass: announcements, requests, decisions and leases.
// Beside a noisy task an endpoint is up to five times slower.
func (s *shared) second(seq int64, requests int) {
	s.now = s.now.Add(time.Second)
	slower := map[string]time.Duration{}
	for t := range s.driver.Cell.Tasks {
		if t.Class == "noisy" {
			slower[t.Worker] = 120 * time.Millisecond
		}
		if t.Throttle > 0 {
			slower[t.Worker] = slower[t.Worker] * time.Duration(t.Throttle) / 1000
		}
	}
	for _, c := range []*control{s.owner, s.other} {
		for i := range 3 {
			id := fmt.Sprint("e", i)
			c.heardEndpoint(endpoint.Announcement{ID: id, Service: "catalogue", Seq: seq, State: endpoint.Ready,
				Slots: 8, Connections: 8, VM: fmt.Sprint("vm", i)}, s.now, s.now, false)
			d := 30*time.Millisecond + slower[fmt.Sprint("w", i)]
			for range requests {
				c.interference.recorder.Record("catalogue", id, 8, d+time.Duration(rand.IntN(1000))*time.Microsecond)
			}
		}
		c.tickInterference(s.now)
	}
	for i := range 3 {
		s.driver.Cell.RegisterWorker(fmt.Sprint("w", i), "z", "r", netip.MustParseAddrPort("127.0.0.1:1"), s.now)
	}
	s.other.hearGossip("owner", s.owner.gossip(s.now), s.now)
	s.owner.hearGossip("other", s.other.gossip(s.now), s.now)
	s.driver.Cell.VerifyBegin()
	s.driver.Cell.VerifyEnd(s.now)
	w := s.driver.Tick(s.now, worker.JournalSpace{})
	if w.Append != nil {
		s.driver.HandleAppendResult(nil)
	}
	s.answer(w.Commands)
}

func (s *shared) answer(cmds []worker.Command) {
	for _, cmd := range cmds {
		r := &worker.Report{Worker: cmd.Worker, Epoch: 1, Capacity: worker.Resources{Processors: 4000, Memory: 4000, Slots: 4},
			Stamp: worker.Stamp{Incarnation: 1, Time: wire.Duration(s.now.Sub(time.Unix(0, 0)))}, LeaseLeft: cmd.Lease.Grant}
		for _, d := range cmd.Lease.Tasks {
			s.throttles[d.Job] = d.Throttle
			r.Tasks = append(r.Tasks, worker.TaskReport{Job: d.Job, Attempt: d.Attempt, State: worker.TaskRunning})
		}
		s.driver.HandleLeaseResult(cmd, r, nil, s.now)
	}
}

// What entries measure reaches the owner of the cell, which first has requests
// routed away from the disturbed endpoint by every entry, and throttles the
// culprit instead where all endpoints are needed.
func TestInterferenceIsActedOn(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests int
		routed   bool
	}{{"low load", 8, true}, {"high load", 100, false}} {
		t.Run(test.name, func(t *testing.T) {
			s := newShared()
			for i := range int64(60) {
				s.second(i+1, test.requests)
			}
			for i, class := range []string{"noisy", "quiet", "quiet"} {
				s.driver.Submit(worker.Job{ID: fmt.Sprint(class, i), Team: "t", Class: class,
					Need: worker.Resources{Processors: 3000, Memory: 1000, Slots: 1}}, s.now, func(error) {})
			}
			for i := range int64(300) {
				s.second(i+61, test.requests)
			}
			for _, c := range []*control{s.owner, s.other} {
				c.publishIfDirty(s.now)
				if avoided := avoided(c.Snapshot(), s); avoided != test.routed {
					t.Errorf("requests are routed away: %v, want %v", avoided, test.routed)
				}
			}
			if throttled := s.throttles["noisy0"] > 0; throttled == test.routed {
				t.Errorf("the noisy task is throttled: %v, want %v", throttled, !test.routed)
			}
			if s.throttles["quiet1"]+s.throttles["quiet2"] > 0 {
				t.Error("a quiet task is throttled")
			}
		})
	}
}

// avoided reports whether the endpoint beside the noisy task, and no other, has
// a lower weight.
func avoided(snap *entry.Snapshot, s *shared) bool {
	noisy := s.driver.Cell.Job("noisy0").Worker
	for i := range 3 {
		low := snap.Advice.Weight(fmt.Sprint("e", i)) < 1
		if low != (fmt.Sprint("w", i) == noisy) {
			return false
		}
	}
	return true
}
