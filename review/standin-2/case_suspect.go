package main

import "time"

func init() { cases["suspect-waits"] = suspectWaits }

// suspectWaits crashes one worker twice, each time soon after the only task of a job has started
// there. The other workers are up, but lasting tasks leave too little room on them. The worker
// that crashed is sound again and empty, so that the task must start there.
func suspectWaits(d *deployment) error {
	const watches, builds, watch, id = "/watches/", "/builds/", "00000000000000d1", "00000000000000d2"
	workers := []spec{{[]string{"a", "r1"}, 24000}}
	for range siteWorkers - 1 {
		workers = append(workers, spec{[]string{"b", "r1"}, 16000})
	}
	if err := d.start(3, workers, []queue{{"watches", hostName, watches, serviceName, 0, 2, 2.2, 2500}, {"builds", hostName, builds, serviceName, 2, 2, 2, 1000}}); err != nil {
		return err
	}
	if err := d.submit(watches, watch, &phase{Count: 2 * (siteWorkers - 1), CPU: 3500, Memory: 3200, Estimate: 320, LongRunning: true, Constraints: "b", MaxPerServer: 2}); err != nil {
		return err
	}
	if err := d.await("watch", 10*time.Second, func() bool { return d.countRuns(watch) == 2*(siteWorkers-1) }); err != nil {
		return err
	}
	if err := d.sleep(2 * time.Second); err != nil {
		return err
	}
	if err := d.submit(builds, id, &phase{Count: 1, CPU: 10000, Memory: 3200, Estimate: 6000, work: 6 * time.Second}); err != nil {
		return err
	}
	big := d.fleet.workers[0]
	for range 2 {
		if err := d.await("start of the build", 8*time.Second, func() bool { return len(d.runsOf(id)[big]) == 1 }); err != nil {
			return err
		}
		if !d.trouble {
			break
		}
		if err := d.sleep(400 * time.Millisecond); err != nil {
			return err
		}
		if err := d.crashFor(big, 2*time.Second); err != nil {
			return err
		}
	}
	if !d.trouble {
		return d.await("end of the build", 20*time.Second, func() bool { return d.ends[id]["done"] == 1 })
	}
	// The rule allows 3 s in a calm deployment; contact-ms after the crash it is calm.
	err := d.await("start after the crashes", 30*time.Second, func() bool { return d.countRuns(id) == 1 || d.ends[id]["done"] == 1 })
	if err != nil && d.ctx.Err() == nil {
		d.fleet.mu.Lock()
		used, capacity := d.usedCPU()
		d.fleet.mu.Unlock()
		return broken("LOST: nothing of job %s (%s) runs for 30 s; %d of %d thousandths of a core are in use, and worker 1 is empty", id, d.state(builds, id), used, capacity)
	}
	return err
}
