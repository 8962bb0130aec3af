package main

import (
	"fmt"
	"time"
)

func init() { scenarios["reserve"] = reserve }

// reserve runs a job of one large task on workers that each run a small task that lasts,
// after a worker without such a task has been emptied and taken away.
func reserve(d *deployment, trouble bool) ([]string, error) {
	const (
		workers = 12
		id      = "ff00000000000001"
	)
	d.addQueue("watch", map[string]any{"priority": 0, "failure-limit": 2, "stretch": 2.2, "objective-ms": 2500})
	d.addQueue("build", map[string]any{"priority": 2, "failure-limit": 2, "stretch": 2.0, "objective-ms": 1000})
	d.putConfig()
	if err := d.startAll(3, workers); err != nil {
		return nil, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	// All workers but one have a task that lasts, on 1 of their 16 cores.
	if !d.submit("watch", "ee00000000000000", map[string]any{"spec": "ms=300 lasts=1", "phases": []map[string]any{
		{"count": workers - 1, "cpu": 1000, "memory-mib": 1000, "estimated-ms": 300, "lasts": true, "worker-limit": 1}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(4 * time.Second)
	if n := d.log.started("ee00000000000000"); n < workers-1 {
		return nil, fmt.Errorf("only %d of %d tasks that last have started", n, workers-1)
	}
	if trouble {
		for i, w := range d.workers {
			w.mu.Lock()
			empty := len(w.boot.running) == 0
			w.mu.Unlock()
			if empty {
				d.rec.printf("worker %s is emptied and taken away", w.id)
				if err := d.takeAway(i); err != nil {
					return nil, err
				}
			}
		}
	}
	// 4 s after the change, everything is calm.
	time.Sleep(5 * time.Second)
	if !d.submit("build", id, map[string]any{"spec": "ms=2700", "phases": []map[string]any{{"count": 1, "cpu": 14500, "memory-mib": 3000, "estimated-ms": 2700}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	// That is the end of the traffic; finish_s is 14 s.
	time.Sleep(20 * time.Second)
	state := d.state("build", id)
	d.rec.printf("GET /build/%s: %s", id, state)
	if n := d.log.started(id); n == 0 {
		return []string{fmt.Sprintf("LOST %s: accepted, shown as %q, and its task of 14.5 cores hasn't started after 20 s; %d workers have 15 of 16 cores free",
			id, state, workers-1)}, nil
	}
	return nil, nil
}
