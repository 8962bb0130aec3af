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

// Timings of the interference policy.
const (
	// reportInterval is the length of the interval that a latency report summarizes.
	reportInterval = 10 * time.Second
	// reportGossipPeriod is how long after its interval a report is included in exchange
	// requests.
	reportGossipPeriod = 2 * time.Second
	// decisionInterval is the interval between decisions of the policies.
	decisionInterval = time.Second
	// peerWeightsTTL is how long the endpoint weights of another entry are used.
	peerWeightsTTL = 5 * time.Second
)

// interferenceState is the state of an entry that concerns the interference between
// services and batch jobs. The control goroutine owns it, except for the recorder,
// which request goroutines write to.
type interferenceState struct {
	recorder      *interference.Recorder
	collector     *interference.Collector
	report        interference.Report
	intervalStart time.Time
	lastDecision  time.Time
	localWeights  []interference.EndpointWeight
	peerWeights   map[string]receivedWeights // by entry id
	weights       *interference.EndpointWeights
}

type receivedWeights struct {
	weights    []interference.EndpointWeight
	receivedAt time.Time
}

func newInterferenceState() interferenceState {
	return interferenceState{
		recorder:    interference.NewRecorder(),
		collector:   interference.NewCollector(),
		peerWeights: make(map[string]receivedWeights),
	}
}

// tickInterference ends the measurement interval when it is due, and runs the
// policies of the cells that this entry owns.
func (c *control) tickInterference(now time.Time) {
	if c.config == nil {
		return
	}
	s := &c.interference
	if s.intervalStart.IsZero() {
		s.intervalStart = now
	}
	if length := now.Sub(s.intervalStart); length >= reportInterval {
		s.intervalStart = now
		s.report = interference.Report{Entry: c.self.ID, Seq: now.UnixNano(),
			Length: wire.Duration(length), Summaries: s.recorder.Drain(length)}
		c.applyReport(s.report, now)
	}
	if now.Sub(s.lastDecision) < decisionInterval {
		return
	}
	s.lastDecision = now
	s.localWeights = nil
	workers := c.workerByEndpoint(now)
	for _, local := range c.cells.All {
		if local.owned {
			c.runPolicy(local, workers, now)
		}
	}
	c.updateWeights(now)
}

// workerByEndpoint returns the id of the worker on the same VM for each endpoint that
// has one.
func (c *control) workerByEndpoint(now time.Time) map[string]string {
	workerByVM := make(map[string]string)
	for id, w := range c.announcedWorkers.All {
		k := vmKey(w.announcement.VM, w.announcement.Address)
		if _, duplicate := workerByVM[k]; duplicate {
			id = "" // Two workers can't share a VM, so the key doesn't identify a VM.
		}
		workerByVM[k] = id
	}
	delete(workerByVM, "")
	out := make(map[string]string)
	view := c.endpoints.View(now)
	for _, s := range view.Services() {
		for _, e := range view.Candidates(s) {
			if w := workerByVM[vmKey(e.VM, e.Address)]; w != "" {
				out[e.ID] = w
			}
		}
	}
	return out
}

// vmKey returns a key that identifies a VM by its announced name or, if there is none,
// by its IP address. It returns "" for a loopback address or an invalid one, which
// identify no VM.
func vmKey(vm string, a netip.AddrPort) string {
	switch {
	case vm != "":
		return "vm/" + vm
	case a.Addr().IsLoopback() || !a.IsValid():
		return ""
	}
	return "ip/" + a.Addr().Unmap().String()
}

// applyReport passes the measurements in a report to the policies of the cells whose
// workers they concern. The policies identify a VM by the id of its worker.
func (c *control) applyReport(r interference.Report, now time.Time) {
	workers := c.workerByEndpoint(now)
	for _, m := range c.interference.collector.Collect(r, func(e string) string { return workers[e] }, now) {
		for _, local := range c.cells.All {
			if local.owned && local.policy != nil && local.driver.Cell.HasWorker(m.VM) {
				local.policy.Observe(m, now)
			}
		}
	}
}

// runPolicy runs the policy of one cell and applies its decision.
func (c *control) runPolicy(local *localCell, workers map[string]string, now time.Time) {
	cell := local.driver.Cell
	if local.policy == nil {
		local.policy = interference.New()
		cell.SetRanker(worker.Packed{Predictor: local.policy})
	}
	targets := make(map[string]time.Duration)
	for _, s := range c.config.Document.Services {
		targets[s.Name] = s.LatencyTarget.Std()
	}
	local.policy.SetTargets(targets)
	cell.SetServices(c.servicesByWorker(workers, now))
	var tasks []interference.Task
	for t := range cell.Tasks {
		tasks = append(tasks, interference.Task{Job: t.Job, Class: t.Class, VM: t.Worker, Urgent: t.Urgent,
			Evicting: t.Evicting, Evictions: t.Evictions, Throttle: t.Throttle})
	}
	decision := local.policy.Decide(tasks, now)
	for _, t := range decision.Throttles {
		if cell.Throttle(t.Job, t.ShareMilli) {
			event.TaskThrottled.Emit(c.log, event.Job(t.Job), event.Cell(local.id), event.Throttle(t.ShareMilli))
		}
	}
	for _, job := range decision.Evictions {
		if cell.Evict(job) {
			event.TaskEvicting.Emit(c.log, event.Job(job), event.Cell(local.id))
		}
	}
	c.addLocalWeights(decision.Weights, workers, now)
}

func (c *control) servicesByWorker(workers map[string]string, now time.Time) map[string][]string {
	out := make(map[string][]string)
	view := c.endpoints.View(now)
	for _, s := range view.Services() {
		for _, e := range view.Candidates(s) {
			if w := workers[e.ID]; w != "" {
				out[w] = append(out[w], s)
			}
		}
	}
	return out
}

// addLocalWeights adds the weights of the endpoints that should receive fewer
// requests to the local weights.
func (c *control) addLocalWeights(w *interference.Weights, workers map[string]string, now time.Time) {
	if w.Len() == 0 {
		return
	}
	view := c.endpoints.View(now)
	for _, s := range view.Services() {
		for _, e := range view.Candidates(s) {
			if weight := w.Weight(s, workers[e.ID]); weight < 1 {
				c.interference.localWeights = append(c.interference.localWeights, interference.EndpointWeight{Endpoint: e.ID, Weight: weight})
			}
		}
	}
}

// updateWeights merges the weights of all owners of cells. If they changed, the next
// snapshot contains the new ones.
func (c *control) updateWeights(now time.Time) {
	s := &c.interference
	lists := [][]interference.EndpointWeight{s.localWeights}
	for id, received := range s.peerWeights {
		if now.Sub(received.receivedAt) > peerWeightsTTL {
			delete(s.peerWeights, id)
			continue
		}
		lists = append(lists, received.weights)
	}
	merged := interference.NewEndpointWeights(lists...)
	if merged.Equal(s.weights) {
		return
	}
	s.weights = merged
	c.dirty = true
}

// newGossip returns the information about interference for other entries.
func (c *control) newGossip(now time.Time) interference.Gossip {
	s := &c.interference
	g := interference.Gossip{Weights: s.localWeights}
	if age := now.Sub(s.intervalStart); age < reportGossipPeriod && len(s.report.Summaries) > 0 {
		r := s.report
		r.Age = wire.Duration(age)
		g.Report = &r
	}
	return g
}

// receiveGossip applies the information about interference from another entry.
func (c *control) receiveGossip(from string, g interference.Gossip, now time.Time) {
	if g.Report != nil {
		c.applyReport(*g.Report, now)
	}
	c.interference.peerWeights[from] = receivedWeights{g.Weights, now}
}

// endpointWeight returns the weight of an endpoint in the published snapshot.
func (c *control) endpointWeight(id string) float64 {
	return c.Snapshot().EndpointWeights.Weight(id)
}

// observerList is an observer that passes each dispatch to several observers.
type observerList []iocaller.Observer

// Observe implements iocaller.Observer.
func (l observerList) Observe(id string, d time.Duration, result caller.Result, httpStatus int, now time.Time) {
	for _, o := range l {
		o.Observe(id, d, result, httpStatus, now)
	}
}

// dispatchRecorder is an observer that records the latency of each dispatch whose
// response is complete, by endpoint.
type dispatchRecorder struct {
	recorder *interference.Recorder
	snapshot func() *entry.Snapshot
}

// Observe implements iocaller.Observer.
func (r dispatchRecorder) Observe(id string, d time.Duration, result caller.Result, _ int, _ time.Time) {
	if result != caller.Complete {
		return
	}
	if e := r.snapshot().Endpoints.Find(id); e != nil {
		r.recorder.Record(e.Service, id, e.Slots, d)
	}
}
