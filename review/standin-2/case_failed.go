package main

import "time"

func init() { cases["failed"] = failedWithoutCause }

// failedWithoutCause crashes two workers, one after the other, each soon after the only task of
// a job has started there. No run of the job ends as failed, so that the job must not be shown
// as failed. It tries a few jobs, one after the other.
func failedWithoutCause(d *deployment) error {
	const prefix = "/proofs/"
	if err := d.start(3, alike(siteWorkers), []queue{{"proofs", hostName, prefix, serviceName, 0, 4, 1.5, 250}}); err != nil {
		return err
	}
	for _, id := range []string{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4", "00000000000000a5", "00000000000000a6", "00000000000000a7"} {
		if err := d.submit(prefix, id, &phase{Count: 1, CPU: 500, Memory: 256, Estimate: 4000, work: 4 * time.Second}); err != nil {
			return err
		}
		for range 2 {
			var at *worker
			if err := d.await("start of "+id, 6*time.Second, func() bool {
				for w := range d.runsOf(id) {
					at = w
				}
				return at != nil
			}); err != nil {
				if d.state(prefix, id) == "failed" {
					break
				}
				return err
			}
			if !d.trouble {
				continue
			}
			if err := d.sleep(500 * time.Millisecond); err != nil {
				return err
			}
			if err := d.crashFor(at, 2*time.Second); err != nil {
				return err
			}
		}
		if err := d.sleep(2 * time.Second); err != nil {
			return err
		}
		if s := d.state(prefix, id); s == "failed" {
			return broken("LOST: job %s is shown as failed; ends of its runs: %v", id, d.ends[id])
		}
		if err := d.await("end of "+id, 14*time.Second, func() bool { return d.ends[id]["done"] == 1 }); err != nil {
			return err
		}
	}
	return nil
}
