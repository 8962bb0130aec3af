package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"rosemarygap/platform/platformtest"
)

const (
	// departureTimeout is how long a worker waits for the answer to its departure.
	departureTimeout = 2 * time.Second
	// maxLastEnd is how long a worker that leaves waits for the end of its tasks at most.
	maxLastEnd = 3 * time.Second
)

// Departure is a planned end of a worker.
type Departure struct {
	// Drain is how long the worker drains. It sends its departure AfterLastEnd after its
	// last task has ended then, and another worker begins in its place Away after its end.
	Drain, AfterLastEnd, Away time.Duration
	// Leaving, if any, is called Notice before the end of the last task.
	Leaving func()
	Notice  time.Duration
}

// Depart carries out a departure. It does nothing while another one is under way, or if the
// worker crashes before it leaves.
func (w *Worker) Depart(ctx context.Context, d Departure) {
	w.mu.Lock()
	if w.departing || w.down {
		w.mu.Unlock()
		return
	}
	w.departing = true
	started := w.incarnationStart
	w.mu.Unlock()
	w.SetDraining(true)
	time.Sleep(d.Drain)
	if d.Leaving != nil {
		time.Sleep(w.untilLastEnd() - d.Notice)
		d.Leaving()
	}
	time.Sleep(w.untilLastEnd() + d.AfterLastEnd)
	if w.incarnation() == started {
		w.sendDeparture(ctx)
	}
	if w.leave(started) {
		time.Sleep(d.Away)
		w.succeed()
	} else {
		w.SetDraining(false)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.departing = false
}

// incarnation returns when the incarnation of the worker began.
func (w *Worker) incarnation() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnationStart
}

// untilLastEnd returns the time until the last of the running tasks ends, at most
// maxLastEnd.
func (w *Worker) untilLastEnd() (d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.running {
		if !t.lasting {
			d = max(d, t.runTime-time.Since(t.started))
		}
	}
	return min(d, maxLastEnd)
}

// sendDeparture announces the departure and returns when it is answered, or after
// departureTimeout.
func (w *Worker) sendDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+w.agent.String()+platformtest.HeartbeatPath(id), nil)
	if err != nil {
		panic(err)
	}
	c := &http.Client{}
	defer c.CloseIdleConnections()
	if response, err := c.Do(r); err == nil {
		response.Body.Close()
		return
	}
	<-ctx.Done()
}

// leave ends the incarnation that began at started, if it is not down, and everything that
// runs on it.
func (w *Worker) leave(started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.incarnationStart != started {
		return false
	}
	w.ledger.JudgeDraining(w.id, w.agentName)
	w.ledger.RecordDeparture()
	w.end()
	w.down, w.draining = true, false
	return true
}

// succeed begins another worker at the same address.
func (w *Worker) succeed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.departures++
	base, _, _ := strings.Cut(w.id, "-then-")
	w.id = fmt.Sprintf("%s-then-%d", base, w.departures)
	w.incarnationStart, w.down = time.Now(), false
}
