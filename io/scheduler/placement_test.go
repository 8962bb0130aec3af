package scheduler

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/agent"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// The far factor of the settings must reach the cell of each ownership, or tasks are
// placed with a fixed penalty.
func TestSettingsTellRemoteDataFactor(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	s.cfg.Bounds.RemoteDataFactor = 1.5
	c := newControl(s)
	c.session = &ownerSession{ownership: job.Ownership{Epoch: 1}}
	c.startSession(loadedState{session: c.session})
	now := time.Now()
	c.cell.Receive(&job.Report{Agent: "a", Process: 1, Epoch: 1, Listed: true, Clock: time.Second,
		Worker: &job.Worker{ID: "i", Incarnation: 1, Service: "svc", Labels: []string{"r1"}, Capacity: job.Resources{Processors: 1000, Memory: 1}}}, now)
	c.cell.Add(job.Job{ID: testID, Queue: "jobs.example/jobs/", Accepted: now, Steps: []job.Step{{Tasks: 1, Rack: "r1"}}}, now)
	c.cell.Tick(now)
	events := c.cell.Events()
	is.Equal(events[len(events)-1].Reason, job.ReasonPlacedInRack)
}

// A report tells in a parameter for how long its worker is cold. A wrong value must not
// refuse the report, on which the lease of the worker depends.
func TestReportTellsColdness(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(t, platformtest.StoreHandler(fleet.NewStore()))
	h := s.peerHandler()
	for value, want := range map[string]time.Duration{"": 0, "1500": 1500, "x": 0, "99999999999999999999": 0} {
		got := make(chan job.Report, 1)
		go func() {
			x := <-s.reports
			got <- *x.report
			x.reply <- reportResult{}
		}()
		r := httptest.NewRequest(http.MethodPost, agent.ReportPath+"?"+agent.ColdLeftParameter+"="+value,
			strings.NewReader(`{"agent":"a","process":1,"epoch":1,"applied":0,"worker":{"id":"i"}}`))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusOK)
		is.Equal((<-got).Worker.ColdLeft, want)
	}
}
