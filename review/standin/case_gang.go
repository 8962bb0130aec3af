package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["gang"] = gangCase }

// gangCase runs a gang that saves its progress while one of the workers under it crashes.
func gangCase(d *deployment, trouble bool) ([]string, error) {
	const id = "dd00000000000001"
	d.addQueue("build", map[string]any{"priority": 2, "failure-limit": 4, "stretch": 2.0, "objective-ms": 1000})
	d.putConfig()
	if err := d.startAll(3, 7); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	if !d.submit("build", id, map[string]any{"spec": "ms=9000 gang=4 saves=1",
		"phases": []map[string]any{{"count": 4, "cpu": 9000, "memory-mib": 1000, "estimated-ms": 9000, "gang": true, "checkpointing": true}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(4300 * time.Millisecond)
	if trouble {
		w := d.workerOf(id)
		if w == nil {
			return nil, fmt.Errorf("the gang does not run")
		}
		w.crash()
		time.Sleep(4 * time.Second)
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(15 * time.Second)
	d.rec.printf("GET /build/%s: %s", id, d.state("build", id))
	return d.log.checkGangCheckpoints(), nil
}

// workerOf returns a worker with a run of a job.
func (d *deployment) workerOf(id string) *worker {
	for _, w := range d.workers {
		w.mu.Lock()
		for task := range w.boot.running {
			if strings.HasPrefix(task, id) {
				w.mu.Unlock()
				return w
			}
		}
		w.mu.Unlock()
	}
	return nil
}

// checkGangCheckpoints returns the runs of gangs whose members were started with different
// checkpoints.
func (l *ledger) checkGangCheckpoints() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	first := map[string]*seenRun{}
	for _, r := range l.runs {
		k := fmt.Sprint(r.task[:strings.LastIndex(r.task, ".")], " run ", r.run)
		if f := first[k]; f == nil {
			first[k] = r
		} else if f.checkpoint != r.checkpoint {
			out = append(out, fmt.Sprintf("UNASKED %s: %s is told to start with checkpoint %q, %s with %q", k, f.task, f.checkpoint, r.task, r.checkpoint))
		}
	}
	return out
}
