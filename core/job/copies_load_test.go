package job

import (
	"bytes"
	"fmt"
	"testing"

	"rosemarygap/io/golden"
)

// maxExtraWork is the most work of runs that do not count, as a share of the work of all
// jobs.
const maxExtraWork = 0.05

// TestCopiesLoad simulates workers of which some slow down to a quarter and one is silent
// for seconds, with jobs that allow copies. More jobs must be on time than without copies,
// at the cost of at most maxExtraWork.
func TestCopiesLoad(t *testing.T) {
	load := readWorkload(t, "testdata/load/copies/slow-and-silent-workers.json")
	var table bytes.Buffer
	onTime := map[string]int{}
	for _, p := range []struct {
		name    string
		options []Option
	}{{"copies", []Option{WithCopies()}}, {"no-copies", nil}} {
		for _, seed := range loadSeeds {
			s := newSim(t, load, seed, simPolicy{options: p.options})
			s.run()
			result := s.result(byQueue)
			writeResult(&table, p.name, seed, result)
			for _, r := range result {
				onTime[p.name] += r.onTime
			}
			work := 0.0
			for _, j := range s.jobs {
				work += j.work
			}
			fmt.Fprintf(&table, "  extra work %.2f%%, copies %v\n", 100*s.extraWork/work, s.copyReasons)
			if s.extraWork > maxExtraWork*work {
				t.Errorf("seed %d: %.0f of %.0f processor seconds are extra", seed, s.extraWork, work)
			}
		}
	}
	golden.Check(t, "testdata/load/copies/slow-and-silent-workers.golden", table.Bytes())
	for _, b := range load.Baselines {
		if onTime["copies"] <= onTime[b] {
			t.Errorf("%s: %d jobs on time, %d with %s", load.Rule, onTime["copies"], onTime[b], b)
		}
	}
}
