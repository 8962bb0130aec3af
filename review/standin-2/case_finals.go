package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["finals"] = finals }

const (
	// finishedJobs are the jobs of 46 hours of the site's traffic of siteRate jobs a second.
	finishedJobs = 900_000
	siteRate     = 5.49
	// finishedPerSecond and finishedBatch are how fast they are put into the store.
	finishedPerSecond = 25_000
	finishedBatch     = 1000
	edgeMemory        = 284
)

// endOf returns the time at which a job ended as it stands in the value that the program left.
func endOf(value []byte) (string, error) {
	var m struct {
		Ended string `json:"ended"`
	}
	if err := json.Unmarshal(value, &m); err != nil || m.Ended == "" {
		return "", fmt.Errorf("no time in %s: %v", value, err)
	}
	return m.Ended, nil
}

// finals puts what 46 hours of jobs leave in the store there, in the form in which the program has
// written it for one job, and restarts the entries one after the other, as any update does. Jobs that
// are handed in afterwards have to run.
func finals(d *deployment) error {
	const prefix, first = "/proofs/", "0000000000000001"
	if err := d.start(3, alike(siteWorkers), []queue{{"proofs", hostName, prefix, serviceName, 0, 4, 1.5, 250}}); err != nil {
		return err
	}
	short := func() *phase { return &phase{Count: 1, CPU: 240, Memory: 480, Estimate: 1000, work: time.Second} }
	if err := d.submit(prefix, first, short()); err != nil {
		return err
	}
	var key string
	var value []byte
	if err := d.await("the final state in the store", 8*time.Second, func() bool {
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		for k, i := range d.store.items {
			if strings.HasSuffix(k, first) && len(d.ends[first]) > 0 && bytes.Contains(i.Value, []byte("done")) {
				key, value = k, i.Value
			}
		}
		return key != ""
	}); err != nil {
		return err
	}
	d.rec.add("the program left %s: %s", key, value)
	ended, err := endOf(value)
	if err != nil {
		return err
	}
	// The newest of them ended twice status_s before.
	newest, began := time.Now().Add(-4*time.Minute), time.Now()
	for n := 0; n < finishedJobs; n += finishedBatch {
		d.store.mu.Lock()
		for i := range finishedBatch {
			id := fmt.Sprintf("%016x", 0x1000_0000_0000_0000+n+i)
			d.store.revision++
			at := newest.Add(-time.Duration(float64(finishedJobs-n-i) / siteRate * float64(time.Second)))
			v := bytes.Replace(value, []byte(first), []byte(id), 1)
			v = bytes.Replace(v, []byte(ended), []byte(at.UTC().Format(time.RFC3339Nano)), 1)
			d.store.write(strings.Replace(key, first, id, 1), v, 0)
		}
		d.store.notify()
		d.store.mu.Unlock()
		next := began.Add(time.Duration(n+finishedBatch) * time.Second / finishedPerSecond)
		if err := d.sleep(time.Until(next)); err != nil {
			return err
		}
	}
	for n := range 3 {
		d.rec.add("edge-%d uses %d MiB", n+1, residentMiB(d.named[fmt.Sprintf("edge-%d", n+1)].cmd.Process.Pid))
		go d.guardMemory(fmt.Sprintf("edge-%d", n+1), edgeMemory)
	}
	if d.trouble {
		for n := range 3 {
			d.rec.add("edge-%d is killed", n+1)
			if err := d.kill(fmt.Sprintf("edge-%d", n+1)); err != nil {
				return err
			}
			if err := d.sleep(time.Second); err != nil {
				return err
			}
		}
	}
	if err := d.sleep(12 * time.Second); err != nil {
		return err
	}
	const last = "0000000000000002"
	err = d.submit(prefix, last, short())
	if err == nil {
		err = d.await("end of the last job", 14*time.Second, func() bool { return d.ends[last]["done"] == 1 })
	}
	for n := range 3 {
		name := fmt.Sprintf("edge-%d", n+1)
		d.rec.add("%s uses %d MiB; the platform killed it %d times", name, residentMiB(d.named[name].cmd.Process.Pid), d.exceeded[name])
	}
	if err != nil && d.ctx.Err() == nil {
		return broken("LOST: job %s does not run: %v; processes ended for their memory: %v", last, err, d.exceeded)
	}
	return err
}
