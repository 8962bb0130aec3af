package main

import (
	"fmt"
	"time"
)

func init() { scenarios["advice"] = advice }

// advice runs jobs of a queue whose policy allows most of the first workers, while empty
// workers are added that the policy doesn't allow.
func advice(d *deployment, trouble bool) ([]string, error) {
	const (
		workers = 46
		added   = 13 // a share of 0.3, rounded down
		barred  = 4  // of the first workers, by the policy
		jobs    = 5
	)
	a := &advisor{rec: d.rec, allowed: map[string]bool{}}
	if err := d.serve(fmt.Sprintf("%s.1:%d", d.net, controlPort), a); err != nil {
		return nil, err
	}
	d.addQueue("watch", map[string]any{"priority": 0, "failure-limit": 2, "stretch": 2.2, "objective-ms": 2500})
	d.addQueue("plate", map[string]any{"priority": 0, "failure-limit": 4, "stretch": 1.5, "objective-ms": 1000,
		"hint": map[string]any{"decide-ms": decideTime.Milliseconds(), "interval-ms": perWorker.Milliseconds(), "valid-ms": ticketValid.Milliseconds()}})
	d.putConfig()
	if err := d.startAll(3, workers); err != nil {
		return nil, err
	}
	for _, w := range d.workers[barred:] {
		a.allowed[w.id] = true
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	// Each of the first workers has a task that lasts, on 4 of its 16 cores.
	if !d.submit("watch", "ee00000000000000", map[string]any{"spec": "ms=300 lasts=1", "phases": []map[string]any{
		{"count": workers, "cpu": 4000, "memory-mib": 1000, "estimated-ms": 300, "lasts": true, "worker-limit": 1}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if n := d.log.started("ee00000000000000"); n < workers {
		return nil, fmt.Errorf("only %d of %d tasks that last have started", n, workers)
	}
	if trouble {
		d.rec.printf("%d empty workers are added", added)
		for i := range added {
			if err := d.addSide(workers+i, d.seeds); err != nil {
				return nil, err
			}
		}
		if err := d.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
		if err := d.fill(d.workers[workers:]); err != nil {
			return nil, err
		}
	}
	// 4 s after the change, everything is calm.
	time.Sleep(4 * time.Second)
	var broken []string
	for i := range jobs {
		id := fmt.Sprintf("ff%014x", i)
		if !d.submit("plate", id, map[string]any{"spec": "ms=1000", "phases": []map[string]any{{"count": 4, "cpu": 1000, "memory-mib": 500, "estimated-ms": 1000}}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		time.Sleep(500 * time.Millisecond)
	}
	// That is the end of the traffic; finish_s is 14 s.
	time.Sleep(20 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("ff%014x", i)
		state := d.state("plate", id)
		d.rec.printf("GET /plate/%s: %s", id, state)
		if n := d.log.started(id); n == 0 {
			broken = append(broken, fmt.Sprintf("LOST %s: accepted, shown as %q, and none of its 4 tasks has started after 20 s; %d workers that may run it have over 10 of 16 cores free",
				id, state, workers-barred))
		}
	}
	return broken, nil
}

// fill hands in jobs of one task that lasts, on half a core, until each of the given
// workers runs one of them.
func (d *deployment) fill(workers []*worker) error {
	for i := range 60 {
		full := true
		for _, w := range workers {
			w.mu.Lock()
			full = full && len(w.boot.running) > 0
			w.mu.Unlock()
		}
		if full {
			return nil
		}
		if !d.submit("watch", fmt.Sprintf("ee%014x", 1+i), map[string]any{"spec": "ms=300 lasts=1", "phases": []map[string]any{
			{"count": 1, "cpu": 500, "memory-mib": 500, "estimated-ms": 300, "lasts": true}}}) {
			return fmt.Errorf("a job was not accepted")
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the added workers are not in use")
}
