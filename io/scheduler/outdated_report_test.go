package scheduler

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const generationQuery = "shared-payloads=1&generation="

// An agent whose process is new must be told the generation with which its reports count, and
// the owner must not take over the report of the former process that arrives later.
func TestOutdatedReportIsAnsweredWithGeneration(t *testing.T) {
	is := is.New(t)
	o := newDeltaOwner(t)
	former := deltaTestReport()
	code, reply := o.post(generationQuery+"0", former)
	is.Equal(code, http.StatusOK)
	is.Equal(reply.Worker, "i")
	restarted := deltaTestReport()
	restarted.Process = 8
	_, reply = o.post(generationQuery+"0", restarted)
	is.True(reply.Whole)
	is.Equal(reply.Worker, "")
	is.True(reply.Generation > 0)
	_, reply = o.post(generationQuery+strconv.FormatInt(reply.Generation, 10), restarted)
	is.Equal(reply.Worker, "i")

	former.Left = true
	_, reply = o.post(generationQuery+"1", former)
	is.True(reply.Whole)
	_, reply = o.post(generationQuery+"0", restarted)
	is.Equal(reply.Worker, "i") // the departure in the held report was not applied
}

// A long poll that was held up must not take the place of the one whose reply the agent reads:
// orders would wait for the agent's next report.
func TestHeldLongPollIsNotParked(t *testing.T) {
	is := is.New(t)
	c := newTestControl(t)
	c.cell.Receive(deltaTestReport(), time.Now())
	poll := func(clock time.Duration) agentReport {
		r := deltaTestReport()
		r.LongPoll, r.Listed, r.Clock = true, false, clock
		x := agentReport{r, make(chan reportResult, 1)}
		c.handleReport(x)
		return x
	}
	newest := poll(3 * time.Second)
	held := poll(2 * time.Second)
	is.True((<-held.reply).reply.Whole)
	is.Equal(c.longPolls["a"].report, newest.report)
	next := poll(4 * time.Second)
	is.Equal(c.longPolls["a"].report, next.report)
}
