package entry

import (
	"net/netip"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/core/entry"
	"rosemarygap/core/event"
	"rosemarygap/core/interference"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
	iocaller "rosemarygap/io/caller"
)

// Periods of the policy of interference.
const (
	// measureEvery is the interval over which latency is summed up.
	measureEvery = 10 * time.Second
	// tellFor is how long a report goes along with exchanges.
	tellFor = 2 * time.Second
	// decideEvery is the period of decisions.
	decideEvery = time.Second
	// adviceLife is how long advice of another entry counts.
	adviceLife = 5 * time.Second
)

// interferenceState is what an entry knows about the interference between
// services and batch work. It belongs to the control goroutine, but for the
// recorder, which traffic goroutines fill.
type interferenceState struct {
	recorder  *interference.Recorder
	collector *interference.Collector
	report    interference.Report
	measured  time.Time
	decided   time.Time
	own       []interference.EndpointWeight
	heard     map[string]heardAdvice
	advised   *interference.EndpointWeights
}

type heardAdvice struct {
	advice []interference.EndpointWeight
	at     time.Time
}

func newInterferenceState() interferenceState {
	return interferenceState{
		recorder:  interference.NewRecorder(),
		collector: interference.NewCollector(),
		heard:     make(map[string]heardAdvice),
	}
}

// tickInterference sums up what was measured, and decides for the cells that
// this entry owns.
func (c *control) tickInterference(now time.Time) {
	if c.config == nil {
		return
	}
	s := &c.interference
	if s.measured.IsZero() {
		s.measured = now
	}
	if length := now.Sub(s.measured); length >= measureEvery {
		s.measured = now
		s.report = interference.Report{Entry: c.self.ID, Seq: now.UnixNano(),
			Length: wire.Duration(length), Summaries: s.recorder.Drain(length)}
		c.takeReport(s.report, now)
	}
	if now.Sub(s.decided) < decideEvery {
		return
	}
	s.decided = now
	s.own = nil
	vms := c.endpointVMs(now)
	for _, run := range c.cells.All {
		if run.owned {
			c.decideCell(run, vms, now)
		}
	}
	c.adviseSnapshot(now)
}

// endpointVMs maps endpoints to the worker on their VM.
func (c *control) endpointVMs(now time.Time) map[string]string {
	byVM := make(map[string]string)
	for id, n := range c.notices.All {
		k := vmKey(n.notice.VM, n.notice.Address)
		if _, twice := byVM[k]; twice {
			id = "" // two workers cannot share a VM
		}
		byVM[k] = id
	}
	delete(byVM, "")
	out := make(map[string]string)
	view := c.endpoints.View(now)
	for _, s := range view.Services() {
		for _, e := range view.Candidates(s) {
			if w := byVM[vmKey(e.VM, e.Address)]; w != "" {
				out[e.ID] = w
			}
		}
	}
	return out
}

// vmKey names a VM by what was announced, or by its IP address. Processes on
// the loopback address tell nothing about VMs.
func vmKey(vm string, a netip.AddrPort) string {
	switch {
	case vm != "":
		return "vm/" + vm
	case a.Addr().IsLoopback() || !a.IsValid():
		return ""
	}
	return "ip/" + a.Addr().Unmap().String()
}

// takeReport gives the measurements of a report to the policies of the cells.
func (c *control) takeReport(r interference.Report, now time.Time) {
	vms := c.endpointVMs(now)
	for _, m := range c.interference.collector.Collect(r, func(e string) string { return vms[e] }, now) {
		for _, run := range c.cells.All {
			if run.owned && run.policy != nil && run.driver.Cell.HasWorker(m.VM) {
				run.policy.Observe(m, now)
			}
		}
	}
}

// decideCell runs the policy of one cell and takes its measures.
func (c *control) decideCell(run *cellRun, vms map[string]string, now time.Time) {
	cell := run.driver.Cell
	if run.policy == nil {
		run.policy = interference.New()
		cell.SetRanker(worker.Packed{Predictor: run.policy})
	}
	targets := make(map[string]time.Duration)
	for _, s := range c.config.Document.Services {
		targets[s.Name] = s.LatencyTarget.Std()
	}
	run.policy.SetTargets(targets)
	cell.SetServices(c.servicesByWorker(vms, now))
	var tasks []interference.Task
	for t := range cell.Tasks {
		tasks = append(tasks, interference.Task{Job: t.Job, Class: t.Class, VM: t.Worker, Urgent: t.Urgent,
			Evicting: t.Evicting, Evictions: t.Evictions, Throttle: t.Throttle})
	}
	d := run.policy.Decide(tasks, now)
	for _, t := range d.Throttles {
		if cell.Throttle(t.Job, t.ShareMilli) {
			event.TaskThrottled.Emit(c.log, event.Job(t.Job), event.Cell(run.id), event.Throttle(t.ShareMilli))
		}
	}
	for _, job := range d.Evictions {
		if cell.Evict(job) {
			event.TaskEvicting.Emit(c.log, event.Job(job), event.Cell(run.id))
		}
	}
	c.noteAdvice(d.Weights, vms, now)
}

func (c *control) servicesByWorker(vms map[string]string, now time.Time) map[string][]string {
	out := make(map[string][]string)
	view := c.endpoints.View(now)
	for _, s := range view.Services() {
		for _, e := range view.Candidates(s) {
			if w := vms[e.ID]; w != "" {
				out[w] = append(out[w], s)
			}
		}
	}
	return out
}

// noteAdvice names the endpoints that requests should be routed away from.
func (c *control) noteAdvice(w *interference.Weights, vms map[string]string, now time.Time) {
	if w.Len() == 0 {
		return
	}
	view := c.endpoints.View(now)
	for _, s := range view.Services() {
		for _, e := range view.Candidates(s) {
			if v := w.Weight(s, vms[e.ID]); v < 1 {
				c.interference.own = append(c.interference.own, interference.EndpointWeight{Endpoint: e.ID, Weight: v})
			}
		}
	}
}

// adviseSnapshot publishes the advice of all owners if it changed.
func (c *control) adviseSnapshot(now time.Time) {
	s := &c.interference
	lists := [][]interference.EndpointWeight{s.own}
	for id, h := range s.heard {
		if now.Sub(h.at) > adviceLife {
			delete(s.heard, id)
			continue
		}
		lists = append(lists, h.advice)
	}
	next := interference.NewEndpointWeights(lists...)
	if next.Equal(s.advised) {
		return
	}
	s.advised = next
	c.dirty = true
}

// gossip is what this entry tells others about interference.
func (c *control) gossip(now time.Time) interference.Gossip {
	s := &c.interference
	g := interference.Gossip{Weights: s.own}
	if age := now.Sub(s.measured); age < tellFor && len(s.report.Summaries) > 0 {
		r := s.report
		r.Age = wire.Duration(age)
		g.Report = &r
	}
	return g
}

// hearGossip takes in what another entry tells.
func (c *control) hearGossip(from string, g interference.Gossip, now time.Time) {
	if g.Report != nil {
		c.takeReport(*g.Report, now)
	}
	c.interference.heard[from] = heardAdvice{g.Weights, now}
}

// advisedWeight returns the weight that the policy advises for an endpoint.
func (c *control) advisedWeight(id string) float64 {
	return c.Snapshot().Advice.Weight(id)
}

// observerList tells several observers of each dispatch.
type observerList []iocaller.Observer

// Observe implements the callers' observer.
func (l observerList) Observe(id string, d time.Duration, result caller.Result, httpStatus int, now time.Time) {
	for _, o := range l {
		o.Observe(id, d, result, httpStatus, now)
	}
}

// dispatchRecorder measures each dispatch by the endpoint that answered it.
type dispatchRecorder struct {
	recorder *interference.Recorder
	snapshot func() *entry.Snapshot
}

// Observe implements the callers' observer.
func (r dispatchRecorder) Observe(id string, d time.Duration, result caller.Result, _ int, _ time.Time) {
	if result != caller.Complete {
		return
	}
	if e := r.snapshot().Endpoints.Find(id); e != nil {
		r.recorder.Record(e.Service, id, e.Slots, d)
	}
}
