package main

import (
	"net/http"
	"sync"
	"time"
)

// Times of the advisor, as in a queue's field hint.
const (
	decideTime   = 100 * time.Millisecond
	perWorker    = 5 * time.Millisecond
	ticketValid  = 3 * time.Second
	maxAdvised   = 100
	advisorQueue = 32
)

// advisor is a stand-in of the service that knows which workers may run a step: those in
// allowed, for all steps.
type advisor struct {
	rec     *recorder
	allowed map[string]bool

	serving sync.Mutex
	mu      sync.Mutex
	waiting int
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := decode(r.Body, &m); err != nil || len(m.Workers) > maxAdvised {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	a.mu.Lock()
	full := a.waiting >= advisorQueue
	if !full {
		a.waiting++
	}
	a.mu.Unlock()
	if full {
		reply(w, http.StatusTooManyRequests, map[string]string{})
		return
	}
	a.serving.Lock()
	time.Sleep(decideTime + time.Duration(len(m.Workers))*perWorker)
	a.serving.Unlock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	rows := [][]string{}
	for _, id := range m.Workers {
		if a.allowed[id] {
			rows = append(rows, []string{id, "t-" + id})
		}
	}
	a.rec.printf("advice on %s for %d workers %v: %d may run it", m.Step, len(m.Workers), m.Workers, len(rows))
	reply(w, http.StatusOK, map[string]any{"allowed": rows, "valid-ms": ticketValid.Milliseconds()})
}
