package job

import (
	"strconv"

	"rosemarygap/core/status"
)

// runKey identifies a run.
type runKey struct {
	task string
	run  int64
}

// compareRunning sets the parts for the change of the running runs from base to running.
// A run is kept if it is listed after those kept before it in both lists; any other run
// is removed and added. Lists in a fixed order keep all runs that are in both.
func (d *ReportChanges) compareRunning(base, running []Run) {
	indices := make(map[runKey]int, len(base))
	for i := range base {
		indices[runKey{base[i].Task, base[i].Run}] = i
	}
	next := 0
	for position := range running {
		r := &running[position]
		i, ok := indices[runKey{r.Task, r.Run}]
		if !ok || i < next {
			d.Positions, d.Added = append(d.Positions, int64(position)), append(d.Added, *r)
			continue
		}
		d.remove(next, i)
		d.compareRun(i, &base[i], r)
		next = i + 1
	}
	d.remove(next, len(base))
}

// remove adds the indices from begin to end, exclusive, to those removed.
func (d *ReportChanges) remove(begin, end int) {
	for i := begin; i < end; i++ {
		d.Removed = append(d.Removed, int64(i))
	}
}

// compareRun adds the change of the kept run with index i of the base.
func (d *ReportChanges) compareRun(i int, base, r *Run) {
	if r.Checkpoint != base.Checkpoint {
		d.CheckpointIndices, d.Checkpoints = append(d.CheckpointIndices, int64(i)), append(d.Checkpoints, r.Checkpoint)
	}
	if r.Percent == base.Percent && r.Load == base.Load && r.Throttled == base.Throttled {
		return
	}
	throttled := int64(0)
	if r.Throttled {
		throttled = 1
	}
	d.Changed = append(d.Changed, int64(i), int64(r.Percent), int64(r.Load), throttled)
}

// applyRunning returns the running runs after the change from base.
func (d *ReportChanges) applyRunning(base []Run) ([]Run, error) {
	changed, err := d.applyChanged(base)
	if err != nil {
		return nil, err
	}
	if err := checkIndices("removed", d.Removed, 1, len(base)); err != nil {
		return nil, err
	}
	total := len(base) - len(d.Removed) + len(d.Added)
	if total > maxChangesLength {
		return nil, status.At(status.ErrOutOfRange, "added", "more runs than "+strconv.Itoa(maxChangesLength))
	}
	if err := checkIndices("positions", d.Positions, 1, total); err != nil {
		return nil, err
	}
	if total == 0 {
		return nil, nil
	}
	out := make([]Run, 0, total)
	next, removed, added := 0, 0, 0
	for len(out) < total {
		if added < len(d.Added) && d.Positions[added] == int64(len(out)) {
			out = append(out, d.Added[added])
			added++
			continue
		}
		for removed < len(d.Removed) && d.Removed[removed] == int64(next) {
			next, removed = next+1, removed+1
		}
		out = append(out, changed[next])
		next++
	}
	return out, nil
}

// applyChanged returns base with the changes of the kept runs.
func (d *ReportChanges) applyChanged(base []Run) ([]Run, error) {
	if err := checkIndices("changed", d.Changed, integersPerChange, len(base)); err != nil {
		return nil, err
	}
	if err := checkIndices("checkpoint-indices", d.CheckpointIndices, 1, len(base)); err != nil {
		return nil, err
	}
	out := append([]Run(nil), base...)
	for c := d.Changed; len(c) > 0; c = c[integersPerChange:] {
		if c[3] != 0 && c[3] != 1 {
			return nil, status.At(status.ErrOutOfRange, "changed", strconv.FormatInt(c[3], 10))
		}
		r := &out[c[0]]
		r.Percent, r.Load, r.Throttled = int(c[1]), int(c[2]), c[3] == 1
	}
	for i, index := range d.CheckpointIndices {
		out[index].Checkpoint = d.Checkpoints[i]
	}
	return out, nil
}

// checkIndices returns an error unless each stride-th integer of list is an index of a
// list of the given length, and they rise.
func checkIndices(path string, list []int64, stride, length int) error {
	last := int64(-1)
	for i := 0; i < len(list); i += stride {
		if list[i] <= last || list[i] >= int64(length) {
			return status.At(status.ErrOutOfRange, path, strconv.FormatInt(list[i], 10))
		}
		last = list[i]
	}
	return nil
}
