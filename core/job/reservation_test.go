package job

import (
	"testing"
	"time"
)

// Guards against a wide step that reserves nothing, and waits for ever, because the tasks
// that take the room run for longer than the waits for which room is reserved otherwise.
func TestRoomThatComesLateIsReserved(t *testing.T) {
	tc := newShareCluster(t, 1, 1)
	long := step(4000, 1000)
	long.Estimate = 10 * maxReservedWait
	tc.submit(zoneJob(1, "a", long))
	tc.submit(zoneJob(2, "b", step(2, 12000)))
	tc.pass(1200*time.Millisecond, long.Estimate)
	tc.is.Equal(tc.Stats(tc.now).ReservedWorkers, 1)
}

// Guards against steps that make progress and take the limited number of reservations from
// those that wait for room.
func TestStepThatProgressesReservesNothing(t *testing.T) {
	tc := newShareCluster(t, 1, 1)
	tc.submit(zoneJob(1, "a", step(400, 1000)))
	for range 10 {
		tc.pass(500*time.Millisecond, time.Minute)
		tc.testWorkers["agent-0"].endRuns(1)
		tc.deliverReports()
		tc.is.Equal(tc.Stats(tc.now).ReservedWorkers, 0)
	}
	tc.pass(1200*time.Millisecond, time.Minute)
	tc.is.Equal(tc.Stats(tc.now).ReservedWorkers, 1)
}
