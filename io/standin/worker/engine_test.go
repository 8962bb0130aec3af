package worker

import (
	"testing"
	"time"

	"rosemarygap/core/wire"
	core "rosemarygap/core/worker"

	"github.com/matryer/is"
)

// A stop that arrives before its start must not lose what earlier attempts
// reached: the next attempt resumes from what the report says.
func TestStopBeforeStartKeepsCheckpoint(t *testing.T) {
	is := is.New(t)
	e := NewEngine("worker-1", 1, core.Resources{Processors: 1000, Memory: 1000, Slots: 1})
	first, err := e.HandleLease(core.Lease{Epoch: 1, Seq: 1}, time.Second)
	is.NoErr(err)
	r, err := e.HandleLease(core.Lease{Epoch: 1, Seq: 2, Echo: first.Stamp,
		Grant: wire.Duration(10 * time.Second), HoldUntil: wire.Duration(time.Minute),
		Tasks: []core.DesiredTask{{Job: "build-1", Attempt: 2, Checkpoint: "42s", Action: core.Stop}}}, 2*time.Second)
	is.NoErr(err)
	is.Equal(r.Tasks, []core.TaskReport{{Job: "build-1", Attempt: 2, State: core.TaskStopped, Checkpoint: "42s"}})
}
