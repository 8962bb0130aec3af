package main

import (
	"strings"
	"sync"
	"time"
)

// gangState is what a member of a gang does.
type gangState int

const (
	gangWorks gangState = iota
	gangWaits
	gangAlone
	gangBroken
	gangDone
)

// gangRun is one run of a gang: the members work from the moment when all are present.
type gangRun struct {
	present  map[string]*taskRun
	complete bool
	how      string
}

// gangs knows the members of all gangs, on all workers.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

func newGangs() *gangs { return &gangs{runs: map[string]*gangRun{}} }

func (g *gangs) of(t *taskRun) *gangRun {
	step := t.task[:strings.LastIndex(t.task, ".")]
	k := step + "/" + string(rune(t.run)) + "/" + time.Duration(t.run).String()
	if g.runs[k] == nil {
		g.runs[k] = &gangRun{present: map[string]*taskRun{}}
	}
	return g.runs[k]
}

func (g *gangs) join(t *taskRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.of(t).present[t.task] = t
}

func (g *gangs) leave(t *taskRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(t)
	delete(x.present, t.task)
	if x.complete && x.how == "" {
		x.how = how
	}
}

func (g *gangs) state(t *taskRun, n int, now time.Time) gangState {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(t)
	if !x.complete && len(x.present) == n {
		x.complete = true
	}
	switch {
	case x.how == "done":
		return gangDone
	case x.how != "":
		return gangBroken
	case x.complete:
		return gangWorks
	case now.Sub(t.started) > gangTime:
		return gangAlone
	}
	return gangWaits
}
