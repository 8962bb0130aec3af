package fleet

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

const listedTask = "00000000000000aa.0.0.0"

// A listed end counts as taken note of if no fault was near, and neither a planned restart nor
// the departure of the worker changes that. Each case lists an end at 1 h and starts the task
// 2 s later.
func TestLedgerJudgesListedEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		disturb func(l *Ledger)
		late    bool
		// judged is true if the end counts and the start is a violation.
		judged bool
	}{
		"calm":                       {func(*Ledger) {}, true, true},
		"start within a second":      {func(*Ledger) {}, false, false},
		"planned restart":            {func(l *Ledger) { l.Plan("s")() }, true, true},
		"planned restart goes on":    {func(l *Ledger) { l.Plan("s") }, true, true},
		"killed scheduler":           {func(l *Ledger) { l.Disturb("s")() }, true, false},
		"another process":            {func(l *Ledger) { l.Disturb("elsewhere") }, true, true},
		"cut agent":                  {func(l *Ledger) { l.Disturb("agent") }, true, false},
		"crashed worker":             {func(l *Ledger) { l.RecordFault("agent") }, true, false},
		"store":                      {func(l *Ledger) { l.Disturb(storeName)() }, true, false},
		"lease ended":                {func(l *Ledger) { l.RecordLapse([]job.End{{Task: listedTask, Run: 1}}) }, true, false},
		"lease of another run ended": {func(l *Ledger) { l.RecordLapse([]job.End{{Task: listedTask, Run: 2}}) }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := NewLedger()
				l.SetSchedulers("s")
				time.Sleep(time.Hour)
				l.RecordListed("agent", []job.End{{Number: 1, Task: listedTask, Run: 1, Outcome: job.EndDone}})
				tc.disturb(l)
				time.Sleep(listedDelay + time.Millisecond)
				noted := time.Now()
				time.Sleep(time.Hour)
				arrived := time.Now()
				if !tc.late {
					arrived = noted.Add(maxStartAfterEnd - time.Millisecond)
				}
				l.CheckListedEnd("w", "other-agent", listedTask, arrived)
				is.Equal(len(l.Violations()) == 1, tc.judged)
			})
		})
	}
}

// Only starts by an agent in touch are judged by the second after the end.
func TestLedgerJudgesStartsAfterListedEndsInTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		time.Sleep(time.Hour)
		l.RecordListed("agent", []job.End{{Number: 1, Task: listedTask, Run: 1, Outcome: job.EndDone}, {Number: 2, Task: "other", Run: 1, Outcome: job.EndFailed}})
		time.Sleep(time.Minute)
		l.CheckListedEnd("w", "agent", "other", time.Now())
		l.Disturb("agent")()
		l.CheckListedEnd("w", "agent", listedTask, time.Now())
		is.Equal(l.Violations(), nil)
		time.Sleep(contactTime)
		l.CheckListedEnd("w", "agent", listedTask, time.Now())
		is.Equal(len(l.Violations()), 1)
	})
}

// A worker that leaves goes on until its departure is answered, then everything on it ends, and
// another worker takes its place. What it has listed is not lost for the ledger.
func TestWorkerLeaves(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	j := sampleJob()
	j.Payload = "ms=100"
	l.RecordSubmission(j)
	var w *Worker
	called, listed := "", 0
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		called = r.Method + " " + r.URL.Path
		list, err := w.Renew(platform.RenewRequest{Worker: "w", Token: 1})
		if err == nil {
			listed = len(list.Ended)
		}
	}))
	defer agent.Close()
	w = NewWorker("w", "svc", netip.AddrPort{}, addr(strings.TrimPrefix(agent.URL, "http://")), l)
	_, err := w.Start(startRequest(w, listedTask, time.Second))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	w.advance()
	w.Depart(t.Context(), Departure{})
	is.Equal(called, "DELETE "+platformtest.HeartbeatPath("w"))
	is.Equal(listed, 1)
	_, err = w.Renew(platform.RenewRequest{Worker: "w", Token: 1})
	is.Equal(err, platform.ErrOtherIncarnation)
	list, err := w.Renew(platform.RenewRequest{Worker: "w-then-1", Token: 1})
	is.NoErr(err)
	is.Equal(len(list.Ended)+len(list.Running), 0)
}

// A renewal that takes effect late acknowledges ends of the worker's next incarnation.
func TestLateRenewalReachesNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		j := sampleJob()
		j.Payload = "ms=100"
		l.RecordSubmission(j)
		w := NewWorker("w", "svc", netip.AddrPort{}, netip.AddrPort{}, l)
		w.SetLateRenewals(1)
		_, err := w.Renew(platform.RenewRequest{Worker: "w", Token: 1, Acknowledged: 1})
		is.True(err != nil)
		w.SetLateRenewals(0)
		w.Crash()
		_, err = w.Start(startRequest(w, listedTask, 10*time.Second))
		is.NoErr(err)
		time.Sleep(lateDelay - time.Millisecond)
		w.advance()
		is.Equal(len(w.ended), 1)
		time.Sleep(2 * time.Millisecond)
		is.Equal(len(w.ended), 0)
	})
}

// A worker may list its ended runs in another order than that of their numbers, and forgets
// those that are acknowledged.
func TestWorkerListsEndsInAnyOrder(t *testing.T) {
	is := is.New(t)
	w := NewWorker("w", "svc", netip.AddrPort{}, netip.AddrPort{}, NewLedger())
	for n := range int64(20) {
		w.ended = append(w.ended, job.End{Number: n + 1, Outcome: job.EndStopped})
	}
	w.ShuffleEnds(rand.New(rand.NewPCG(1, 1)))
	list, err := w.Renew(platform.RenewRequest{Worker: "w", Acknowledged: 10})
	is.NoErr(err)
	inOrder := func(a, b job.End) int { return cmp.Compare(a.Number, b.Number) }
	is.True(!slices.IsSortedFunc(list.Ended, inOrder))
	slices.SortFunc(list.Ended, inOrder)
	is.Equal(list.Ended, w.ended)
	is.Equal(list.Ended[0].Number, int64(11))
}
