package agent

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Once the agent has reported that the lease of its worker has ended, the owner may
// start the tasks elsewhere. No attempt to start a run that it ordered before may
// follow, even if the worker answers again.
func TestNoStartAfterReportedLeaseEnd(t *testing.T) {
	is := is.New(t)
	s, _, now := newTestState(t)
	orders, _ := s.applyReply(testReply(testOrder(1, job.OrderStart)), now, now)
	is.Equal(len(orders), 1)
	_, ok := s.checkOrder(orders[0], 1)
	is.True(ok)

	now = now.Add(testMaxLease * 2)
	is.True(s.report("agent", false, now).LeaseEnded)
	_, ok = s.checkOrder(orders[0], 1)
	is.True(!ok)
	// The run is closed by a stop, which grants no lease.
	stop := orders[0]
	stop.Kind = job.OrderStop
	_, ok = s.checkOrder(stop, 1)
	is.True(ok)
	is.True(s.report("agent", false, now).LeaseEnded)

	// An order that arrives later starts.
	next := testOrder(2, job.OrderStart)
	next.Run = 2
	orders, _ = s.applyReply(testReply(next), now, now)
	_, ok = s.checkOrder(orders[0], 1)
	is.True(ok)
}

// An agent that stops beside a worker that does not answer must tell the owner when its lease ends:
// the worker may have been taken away with its VM, and nobody else knows. While the worker answers,
// its runs go on until the next process of the agent is up.
func TestStoppingAgentReportsEndOfLease(t *testing.T) {
	for _, answers := range []bool{true, false} {
		is := is.New(t)
		requests := make(chan *http.Request, 1)
		owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- r
			w.Write([]byte(`{"epoch":1}`))
		}))
		t.Cleanup(owner.Close)
		worker := httptest.NewServer(platformtest.WorkerHandler(&identifiedWorker{id: "i-1", incarnation: 100}))
		t.Cleanup(worker.Close)
		a := New(platform.Settings{Name: "agent", WorkerAddress: netip.MustParseAddrPort(strings.TrimPrefix(worker.URL, "http://"))}, hclog.NewNullLogger())
		a.state, _, _ = newTestState(t)
		a.state.applyReply(testReply(), time.Now(), time.Now())
		r, ok := a.state.nextRenewal()
		is.True(ok)
		a.state.applyRunList(r, job.RunList{Incarnation: 100, Clock: 2 * time.Second}, time.Now(), time.Now())
		a.state.nextRenewal()
		is.True(a.owner.update(job.Ownership{Epoch: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(owner.URL, "http://"))}))
		if !answers {
			worker.Close()
		}
		a.renewBeforeExit()
		select {
		case r := <-requests:
			is.True(!answers)
			left, err := strconv.ParseInt(r.URL.Query().Get(LeaseLeftParameter), 10, 64)
			is.NoErr(err)
			is.True(time.Duration(left) > time.Second && time.Duration(left) < testMaxLease)
		default:
			is.True(answers)
		}
	}
}
