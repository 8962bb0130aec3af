package job

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// request makes a request of agent-0 without applying the orders in its reply.
func (tc *testCluster) request(longPoll, shared bool) Reply {
	r := tc.testWorkers["agent-0"].report
	r.LongPoll, r.SharedPayloads = longPoll, shared
	tc.Receive(&r, tc.now)
	tc.BeginOwnershipCheck()
	tc.ConfirmOwnership(tc.now)
	tc.Tick(tc.now)
	tc.commitWrites()
	return tc.Reply(&r, tc.now)
}

// A burst of starts on an owner with a slow link: while a reply with orders is in
// transit, reports that arrive meanwhile do not send the same orders again. Sent in
// every reply, the orders took ten times their bytes, until no reply arrived in time
// and the ownership moved from one slow VM to the next.
func TestOrdersAreInOneReplyAtATime(t *testing.T) {
	tc := newTestCluster(t, 1)
	j := testJob(1, step(8, 1000))
	j.Payload = strings.Repeat("x", 1000)
	tc.Add(j, tc.now)
	tc.request(true, true)
	tc.is.True(tc.HasOrders("agent-0", tc.now))
	tc.is.Equal(len(tc.request(true, true).Orders), 8)

	tc.is.Equal(len(tc.request(false, true).Orders), 0)
	tc.Add(testJob(2, step(1, 1000)), tc.now)
	tc.is.Equal(len(tc.request(false, true).Orders), 0) // later orders would overtake the earlier ones

	// The reply to the long poll is lost on a connection that went silent.
	tc.now = tc.now.Add(deliveryTimeout)
	tc.is.Equal(len(tc.request(false, true).Orders), 9)
	tc.is.Equal(len(tc.request(false, true).Orders), 9) // the agent abandoned the report
	tc.testWorkers["agent-0"].report.Applied = 9
	tc.is.Equal(len(tc.request(true, true).Orders), 0)
	tc.Add(testJob(3, step(1, 1000)), tc.now)
	tc.is.Equal(len(tc.request(true, true).Orders), 1)
}

// The payload of a job is sent once in a reply, and comes back in each order. An
// agent that does not know shared payloads gets it in each order.
func TestPayloadIsSentOnce(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	j := testJob(1, step(8, 1000))
	j.Payload = strings.Repeat("x", 1000)
	tc.Add(j, tc.now)
	tc.request(true, true)

	old := tc.request(true, false)
	is.Equal(len(old.Payloads), 0)
	is.Equal(len(old.Orders), 8)
	reply := tc.request(true, true)
	b, err := json.Marshal(&reply)
	is.NoErr(err)
	is.Equal(strings.Count(string(b), j.Payload), 1)
	reply.CompleteOrders()
	is.Equal(reply.Orders, old.Orders)
	for _, o := range old.Orders {
		is.Equal(o.Payload, j.Payload)
	}
}
