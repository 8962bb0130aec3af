package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["repeats"] = repeats }

// repeats runs jobs that repeat, beside jobs that are due at night, while the store leaves
// the calls of the machine that leads without an answer, for 4 s at a time.
func repeats(d *deployment, trouble bool) ([]string, error) {
	const (
		nightJobs = 5000
		feeds     = 6
		rounds    = 5
	)
	d.addQueue("feed", map[string]any{"priority": 0, "failure-limit": 4, "stretch": 2.0, "objective-ms": 1000})
	d.addQueue("night", map[string]any{"priority": 2, "failure-limit": 2, "stretch": 2.0, "objective-ms": 1000})
	d.putConfig()
	if err := d.startAll(3, 4); err != nil {
		return nil, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	tonight := time.Now().Add(8 * time.Hour).UnixMilli()
	text := strings.Repeat("night job ", 350)
	ids := make(chan int)
	bad := make(chan string, nightJobs)
	done := make(chan struct{})
	for range 16 {
		go func() {
			for i := range ids {
				id := fmt.Sprintf("aa%014x", i)
				if !d.submit("night", id, map[string]any{"spec": text + " ms=2000", "repeats": 1, "start-at-ms": tonight, "period-ms": 1000,
					"phases": []map[string]any{{"count": 4, "cpu": 1000, "memory-mib": 512, "estimated-ms": 2000}}}) {
					bad <- id
				}
			}
			done <- struct{}{}
		}()
	}
	for i := range nightJobs {
		ids <- i
		time.Sleep(3 * time.Millisecond) // the store takes 400 writes a second
	}
	close(ids)
	for range 16 {
		<-done
	}
	if len(bad) > 0 {
		return nil, fmt.Errorf("%d jobs for the night were not accepted", len(bad))
	}
	d.rec.printf("%d jobs for the night are accepted", nightJobs)
	begin := time.Now().Add(500 * time.Millisecond)
	for i := range feeds {
		if !d.submit("feed", fmt.Sprintf("bb%014x", i), map[string]any{"spec": "ms=250", "repeats": 10000,
			"start-at-ms": begin.Add(time.Duration(i) * 67 * time.Millisecond).UnixMilli(), "period-ms": 400,
			"phases": []map[string]any{{"count": 2, "cpu": 500, "memory-mib": 256, "estimated-ms": 250}}}) {
			return nil, fmt.Errorf("a feed was not accepted")
		}
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		m := d.owner()
		if m == nil {
			return nil, fmt.Errorf("no owner")
		}
		if trouble {
			d.rec.printf("the store leaves calls of %s without an answer", m.name)
			d.store.setGate(m.name, gateSilent)
		}
		time.Sleep(4 * time.Second)
		if trouble {
			d.rec.printf("the store serves %s again", m.name)
			d.store.setGate(m.name, gateOpen)
		}
		time.Sleep(5 * time.Second)
	}
	return d.log.checkTwice(), nil
}
