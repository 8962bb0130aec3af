package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A reply must have the traits and the interference that the agent lacks, since without
// them it would not throttle, and no others, which are most of the reply.
func TestReplyToDeltaHasOnlyWhatIsUnknown(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	serving, bestEffort := step(1, 1000), step(2, 1000)
	serving.LongRunning, serving.TailTarget, serving.Image = true, 100*time.Millisecond, "feed"
	bestEffort.BestEffort, bestEffort.Image = true, "build"
	tc.submit(testJob(1, serving))
	tc.submit(testJob(2, bestEffort))
	r := tc.testWorkers["agent-0"].report
	is.Equal(len(r.Running), 3)
	whole := tc.Reply(&r, tc.now)
	is.Equal(len(whole.Traits), 3)
	is.Equal(len(whole.Interference), 1)
	is.Equal(whole.InterferenceVersion, uint64(0)) // as for earlier builds

	name := r.Running[0].Task
	r.Delta = DeltaContext{Enabled: true, Number: 2, Base: 1, UnknownTraits: []string{name, "unknown"}}
	reply := tc.Reply(&r, tc.now)
	is.Equal(reply.Traits, map[string]TaskTraits{name: whole.Traits[name]})
	is.Equal(reply.Interference, whole.Interference)
	r.Delta = DeltaContext{Enabled: true, Number: 3, Base: 2, KnownInterference: reply.InterferenceVersion}
	again := tc.Reply(&r, tc.now)
	is.Equal(len(again.Traits)+len(again.Interference), 0)
	is.Equal(again.InterferenceVersion, reply.InterferenceVersion)
	r.Delta = DeltaContext{Enabled: true, Number: 4}
	is.Equal(tc.Reply(&r, tc.now).Traits, whole.Traits) // a whole report gets all
}

// Two tables must not have the same version, or the agent would keep the wrong one.
func TestInterferenceVersionTellsTablesApart(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]bool{}
	for _, table := range []map[string]map[string]float64{
		nil, {"a": nil}, {"a": {"b": 1}}, {"a": {"b": 2}}, {"a": {"c": 1}}, {"ab": {"": 1}}, {"a": {}, "b": {}}, {"a": {"b": 1}, "c": {}},
	} {
		v := interferenceVersion(table)
		is.True(!seen[v] || len(table) == 0)
		seen[v] = true
	}
	is.Equal(interferenceVersion(nil), uint64(0))
	is.Equal(len(seen), 8)
}
