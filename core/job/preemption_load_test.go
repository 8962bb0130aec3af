package job

import (
	"bytes"
	"testing"

	"rosemarygap/io/golden"
)

// maxBatchLoss is how many of the batch jobs may miss their objective because of
// preemption, as a share of all.
const maxBatchLoss = 0.05

// TestPreemptionLoad simulates workers full of long batch tasks with urgent jobs in
// bursts. More urgent jobs must be on time with preemption than without it and with
// strict priority, at the cost of at most maxBatchLoss of the batch jobs. On few workers,
// a stopped task waits longest for room.
func TestPreemptionLoad(t *testing.T) {
	for _, name := range []string{"urgent-bursts", "eight-workers", "eight-workers-long-bursts"} {
		t.Run(name, func(t *testing.T) { checkPreemptionLoad(t, "testdata/load/preemption/"+name) })
	}
}

func checkPreemptionLoad(t *testing.T, name string) {
	load := readWorkload(t, name+".json")
	var table bytes.Buffer
	onTime := map[string]map[string]int{}
	batchJobs := 0
	for _, p := range []struct {
		name    string
		options []Option
	}{
		{"preemption", []Option{WithPreemption()}},
		{"no-preemption", nil},
		{"strict-priority", []Option{WithStrictPriority()}},
	} {
		onTime[p.name] = map[string]int{}
		for _, seed := range loadSeeds {
			s := newSim(t, load, seed, simPolicy{options: p.options})
			s.run()
			result := s.result(byQueue)
			writeResult(&table, p.name, seed, result)
			for q, r := range result {
				onTime[p.name][q] += r.onTime
			}
			if p.name == "preemption" {
				batchJobs += result["queue"].onTime + result["queue"].late + result["queue"].unserved
			}
		}
	}
	golden.Check(t, name+".golden", table.Bytes())
	with := onTime["preemption"]
	for _, b := range load.Baselines {
		if with["urgent"] <= onTime[b]["urgent"] {
			t.Errorf("%s: %d urgent jobs on time, %d with %s", load.Rule, with["urgent"], onTime[b]["urgent"], b)
		}
	}
	if lost := onTime["no-preemption"]["queue"] - with["queue"]; float64(lost) > maxBatchLoss*float64(batchJobs) {
		t.Errorf("%s: %d of %d batch jobs are on time, %d without preemption", load.Rule, with["queue"], batchJobs, onTime["no-preemption"]["queue"])
	}
}
