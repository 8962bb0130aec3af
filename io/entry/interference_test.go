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

const testLatencyTarget = 100 * time.Millisecond

// interferenceFixture contains two entries. One of them owns a cell of three workers,
// each of which shares its VM with an endpoint.
type interferenceFixture struct {
	owner, other *control
	driver       *worker.Driver
	now          time.Time
	// throttles contains the throttles that were sent to workers, by job.
	throttles map[string]int
}

func newInterferenceFixture() *interferenceFixture {
	s := &interferenceFixture{now: time.Unix(1000, 0), throttles: map[string]int{}}
	doc := operator.Document{Cells: 1, Services: []operator.Service{
		{Name: "catalogue", LatencyTarget: wire.Duration(testLatencyTarget)}}}
	address := netip.MustParseAddrPort("127.0.0.1:1")
	for _, c := range []**control{&s.owner, &s.other} {
		*c = newControl(Options{ID: fmt.Sprintf("%p", c), PeerListen: address}, hclog.NewNullLogger(), nil)
		(*c).config = &operator.AcceptedConfig{Revision: 1, Document: doc}
	}
	cell := worker.NewCell(0, worker.Timings{Grant: time.Minute, Hold: time.Hour})
	s.driver = worker.NewDriver(cell, "owner", func() string { return "n" })
	s.driver.OpeningBatch(1, s.now)
	cell.Open(1, s.now)
	s.owner.cells.Put(0, localCell{owned: true, driver: s.driver})
	for i := range 3 {
		id := fmt.Sprint("w", i)
		s.owner.applyWorkerAnnouncement(peer.WorkerAnnouncement{ID: id, Address: address, VM: fmt.Sprint("vm", i)}, s.now, s.now)
	}
	return s
}

// advanceSecond advances the time by one second and simulates what happens in it:
// announcements, requests, decisions and leases. On the VM of a noisy task an endpoint
// is up to five times slower.
func (s *interferenceFixture) advanceSecond(seq int64, requests int) {
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
			c.applyEndpointAnnouncement(endpoint.Announcement{ID: id, Service: "catalogue", Seq: seq, State: endpoint.Ready,
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
	s.other.receiveGossip("owner", s.owner.newGossip(s.now), s.now)
	s.owner.receiveGossip("other", s.other.newGossip(s.now), s.now)
	s.driver.Cell.VerifyBegin()
	s.driver.Cell.VerifyEnd(s.now)
	w := s.driver.Tick(s.now, worker.JournalSpace{})
	if w.Append != nil {
		s.driver.HandleAppendResult(nil)
	}
	s.respond(w.Commands)
}

func (s *interferenceFixture) respond(cmds []worker.Command) {
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

// The measurements of all entries must reach the owner of the cell. At low load the
// owner makes every entry route requests away from the slow endpoint. At high load,
// where all endpoints are needed, it throttles the task that causes the interference.
func TestInterferenceIsActedOn(t *testing.T) {
	for _, test := range []struct {
		name        string
		requests    int
		wantAvoided bool
	}{{"low load", 8, true}, {"high load", 100, false}} {
		t.Run(test.name, func(t *testing.T) {
			s := newInterferenceFixture()
			for i := range int64(60) {
				s.advanceSecond(i+1, test.requests)
			}
			for i, class := range []string{"noisy", "quiet", "quiet"} {
				s.driver.Submit(worker.Job{ID: fmt.Sprint(class, i), Team: "t", Class: class,
					Need: worker.Resources{Processors: 3000, Memory: 1000, Slots: 1}}, s.now, func(error) {})
			}
			for i := range int64(300) {
				s.advanceSecond(i+61, test.requests)
			}
			for _, c := range []*control{s.owner, s.other} {
				c.publishIfDirty(s.now)
				if avoided := isOnlyNoisyAvoided(c.Snapshot(), s); avoided != test.wantAvoided {
					t.Errorf("only the endpoint of the noisy task has a lower weight: %v, want %v", avoided, test.wantAvoided)
				}
			}
			if throttled := s.throttles["noisy0"] > 0; throttled == test.wantAvoided {
				t.Errorf("noisy task is throttled: %v, want %v", throttled, !test.wantAvoided)
			}
			if s.throttles["quiet1"]+s.throttles["quiet2"] > 0 {
				t.Error("quiet tasks are throttled")
			}
		})
	}
}

// isOnlyNoisyAvoided reports whether the endpoint on the VM of the noisy task, and no
// other endpoint, has a weight below 1.
func isOnlyNoisyAvoided(snap *entry.Snapshot, s *interferenceFixture) bool {
	noisy := s.driver.Cell.Job("noisy0").Worker
	for i := range 3 {
		low := snap.EndpointWeights.Weight(fmt.Sprint("e", i)) < 1
		if low != (fmt.Sprint("w", i) == noisy) {
			return false
		}
	}
	return true
}
