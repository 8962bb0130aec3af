package job

import (
	"bytes"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"rosemarygap/io/golden"
)

// sharePolicies are fair shares and the baselines, of which each workload beats those
// that it names.
var sharePolicies = []struct {
	name    string
	options []Option
}{
	{"product", []Option{WithFairShares()}},
	{"no-shares", nil},
	{"arrival-order", []Option{WithArrivalOrder()}},
	{"strict-priority", []Option{WithStrictPriority()}},
	{"deadlines", []Option{WithDeadlines()}},
}

// minShareKept is the least ratio of the share of jobs in time of an account to that
// without the bursts of others.
const minShareKept = 0.9

// TestGoldenShares simulates each workload in which some accounts burst. The other
// accounts must keep their share of jobs in time, must earn more than with the
// baselines, and large jobs must not be served less than half as often as all.
func TestGoldenShares(t *testing.T) {
	files, err := filepath.Glob("testdata/load/*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		load := readWorkload(t, file)
		if !load.Shares {
			continue
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			var table bytes.Buffer
			calm := shareTotals(t, &table, "product without bursts", load.withoutBursts(), sharePolicies[0].options)
			others := load.others()
			kept := map[string]map[string]float64{}
			for _, p := range sharePolicies {
				kept[p.name] = shareTotals(t, &table, p.name, load, p.options)
			}
			golden.Check(t, strings.TrimSuffix(file, ".json")+".golden", table.Bytes())
			for _, account := range others {
				if kept["product"][account] < minShareKept*calm[account] {
					t.Errorf("%s: %.3f of the jobs of %s are in time, %.3f without the bursts", load.Rule, kept["product"][account], account, calm[account])
				}
			}
			for _, b := range load.Baselines {
				if sum(kept["product"], others) <= sum(kept[b], others) {
					t.Errorf("%s: baseline %s serves as many jobs of the other accounts in time: %v", load.Rule, b, kept[b])
				}
			}
		})
	}
}

// shareTotals simulates the workload with each seed, writes the results by account,
// and returns the shares of jobs in time over all seeds by account.
func shareTotals(t *testing.T, table *bytes.Buffer, policy string, load *workload, options []Option) map[string]float64 {
	inTime, all := map[string]float64{}, map[string]float64{}
	for _, seed := range loadSeeds {
		s := newSim(t, load, seed, simPolicy{options: options})
		s.run()
		if policy == sharePolicies[0].name {
			checkSizes(t, seed, s.result(byQueue))
		}
		result := s.result(byAccount)
		fmt.Fprintf(table, "%s seed %d:", policy, seed)
		for _, a := range slices.Sorted(maps.Keys(result)) {
			r := result[a]
			fmt.Fprintf(table, " %s %d on time, %d late, %d unserved, %.3f", a, r.onTime, r.late, r.unserved, r.valueShare)
			inTime[a] += float64(r.onTime)
			all[a] += float64(r.onTime + r.late + r.unserved)
		}
		table.WriteByte('\n')
	}
	for a := range inTime {
		inTime[a] /= all[a]
	}
	return inTime
}

func sum(byAccount map[string]float64, accounts []string) float64 {
	total := 0.0
	for _, a := range accounts {
		total += byAccount[a]
	}
	return total
}

func (w *workload) withoutBursts() *workload {
	calm := *w
	calm.Streams = slices.Clone(w.Streams)
	for i := range calm.Streams {
		if calm.Streams[i].Burst {
			calm.Streams[i].PerSecond = 0
		}
	}
	return &calm
}

// others returns the accounts that do not burst.
func (w *workload) others() []string {
	byName := map[string]bool{}
	for i := range w.Streams {
		a := byAccount(&w.Streams[i])
		byName[a] = byName[a] || w.Streams[i].Burst
	}
	var out []string
	for a, bursts := range byName {
		if !bursts {
			out = append(out, a)
		}
	}
	return out
}
