package main

import (
	"fmt"
	"time"
)

func init() { cases["lasting-waits"] = lastingWaits }

// failingTime is for how long the worker fails what it starts.
const failingTime = 3 * time.Second

// lastingWaits lets the only worker with the label that some jobs need fail all that it starts for
// some seconds, while a build arrives. Afterwards the worker is sound, and most of its room is
// free. A lasting task there fails by itself and must be started again.
func lastingWaits(d *deployment) error {
	const watches, builds, watch = "/watches/", "/builds/", "00000000000000e1"
	workers := alike(siteWorkers)
	workers[0].labels = []string{"b", "r1"}
	if err := d.start(3, workers, []queue{{"watches", hostName, watches, serviceName, 0, 2, 2.2, 2500}, {"builds", hostName, builds, serviceName, 2, 4, 2, 1000}}); err != nil {
		return err
	}
	if err := d.submit(watches, watch, &phase{Count: 4, CPU: 500, Memory: 3200, Estimate: 320, LongRunning: true, Constraints: "b"}); err != nil {
		return err
	}
	running := func() bool { return d.countRuns(watch) == 4 }
	if err := d.await("start of the lasting tasks", 10*time.Second, running); err != nil {
		return err
	}
	if err := d.sleep(4 * time.Second); err != nil {
		return err
	}
	jobs := 0
	build := func(cpu int) error {
		jobs++
		return d.submit(builds, fmt.Sprintf("000000000000f0%02d", jobs), &phase{Count: 8, CPU: cpu, Memory: 256, Estimate: 80000, Constraints: "b", work: 80 * time.Second})
	}
	// The worker has a few long tasks that run soundly all the time.
	if err := build(800); err != nil {
		return err
	}
	if err := d.sleep(2 * time.Second); err != nil {
		return err
	}
	w := d.fleet.workers[0]
	d.fleet.mu.Lock()
	w.failing = d.trouble
	d.fleet.mu.Unlock()
	d.rec.add("worker %d fails all that it starts: %v", w.n, d.trouble)
	if err := build(400); err != nil {
		return err
	}
	if err := d.sleep(failingTime); err != nil {
		return err
	}
	d.fleet.mu.Lock()
	w.failing = false
	d.rec.add("worker %d is sound again; %d runs have failed there", w.n, w.failed)
	d.fleet.mu.Unlock()
	if err := d.sleep(7 * time.Second); err != nil {
		return err
	}
	d.fleet.mu.Lock()
	failed := d.runsOf(watch)[w][0]
	w.end(failed, "failed")
	used, capacity := d.usedCPU()
	d.fleet.mu.Unlock()
	d.rec.add("%s has failed by itself; %d of %d thousandths of a core are in use", failed.name, used, capacity)
	// 6 s from its last run, and 3 s in which it could run; the 4 s before have to be calm, too.
	if err := d.await("start of "+failed.name, 13*time.Second, running); err != nil {
		return broken("LOST: %s does not run for 13 s; %d of %d thousandths of a core are in use", failed.name, used, capacity)
	}
	return nil
}
