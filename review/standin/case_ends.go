package main

import (
	"fmt"
	"time"
)

func init() { scenarios["ends"] = ends }

// ends runs jobs of many short tasks while the store is down.
func ends(d *deployment, trouble bool) ([]string, error) {
	const (
		jobs  = 6
		tasks = 1000
	)
	d.addQueue("proof", map[string]any{"priority": 0, "failure-limit": 4, "stretch": 1.5, "objective-ms": 250})
	d.putConfig()
	if err := d.startAll(3, 3); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	for i := range jobs {
		if !d.submit("proof", fmt.Sprintf("cc%014x", i), map[string]any{"spec": "ms=250",
			"phases": []map[string]any{{"count": tasks, "cpu": 240, "memory-mib": 480, "estimated-ms": 250}}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		d.rec.printf("the store is down")
		d.store.down(true)
	}
	time.Sleep(6800 * time.Millisecond)
	if trouble {
		d.rec.printf("the store is back")
		d.store.down(false)
	}
	end := time.Now().Add(60 * time.Second)
	for i := 0; i < jobs && time.Now().Before(end); {
		if d.state("proof", fmt.Sprintf("cc%014x", i)) == "done" {
			i++
			continue
		}
		time.Sleep(500 * time.Millisecond)
	}
	return d.log.checkTwice(), nil
}
