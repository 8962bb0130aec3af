package interference

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/wire"
)

// Buckets of latency grow by an eighth from bucketBase.
const (
	buckets      = 120
	bucketBase   = 100 * time.Microsecond
	bucketGrowth = 1.125
	tail         = 0.99
)

// Summary is what one entry measured at one endpoint in an interval.
type Summary struct {
	Service  string        `json:"service"`
	Endpoint string        `json:"endpoint"`
	Requests int           `json:"requests"`
	P99      wire.Duration `json:"p99"`
	// Load is the mean share of the endpoint's slots that this entry's
	// requests took, 0 to 1.
	Load float64 `json:"load"`
}

// Report is what one entry measured in one interval.
type Report struct {
	Entry string `json:"entry"`
	// Seq rises with each interval of a process of an entry.
	Seq int64 `json:"seq"`
	// Age is the time since the interval's end at the sender.
	Age       wire.Duration `json:"age"`
	Length    wire.Duration `json:"length"`
	Summaries []Summary     `json:"summaries"`
}

type tally struct {
	service string
	slots   int
	counts  [buckets]uint32
	total   int
	busy    time.Duration
}

// Recorder counts the latency of dispatches by endpoint. Its methods may be
// called from any goroutine.
type Recorder struct {
	mu      sync.Mutex
	tallies map[string]*tally
}

// NewRecorder returns a recorder that has counted nothing.
func NewRecorder() *Recorder { return &Recorder{tallies: make(map[string]*tally)} }

// Record counts a dispatch that an endpoint with the given slots answered.
func (r *Recorder) Record(service, endpoint string, slots int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[endpoint]
	if t == nil {
		t = &tally{}
		r.tallies[endpoint] = t
	}
	t.service, t.slots = service, slots
	t.counts[bucketOf(d)]++
	t.total++
	t.busy += d
}

// Drain returns what was counted in the last interval and begins a new one.
func (r *Recorder) Drain(length time.Duration) []Summary {
	r.mu.Lock()
	tallies := r.tallies
	r.tallies = make(map[string]*tally)
	r.mu.Unlock()
	out := make([]Summary, 0, len(tallies))
	for id, t := range tallies {
		out = append(out, Summary{Service: t.service, Endpoint: id, Requests: t.total,
			P99: wire.Duration(t.p99()), Load: float64(t.busy) / float64(length) / float64(max(1, t.slots))})
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func bucketOf(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	b := int(math.Log(float64(d)/float64(bucketBase)) / math.Log(bucketGrowth))
	return min(b, buckets-1)
}

// p99 returns the middle of the bucket with the 99th percentile.
func (t *tally) p99() time.Duration {
	need := int(math.Ceil(tail * float64(t.total)))
	for b, n := range t.counts {
		if need -= int(n); need <= 0 {
			return time.Duration(float64(bucketBase) * math.Pow(bucketGrowth, float64(b)+0.5))
		}
	}
	return time.Duration(float64(bucketBase) * math.Pow(bucketGrowth, buckets))
}

// loadLife is how long an entry's part of an endpoint's load counts.
const loadLife = 30 * time.Second

type partialLoad struct {
	load float64
	at   time.Time
}

// Collector turns the reports of all entries into measurements. Each report
// counts once, whatever is doubled or reordered.
type Collector struct {
	seqs  map[string]int64
	loads map[string]map[string]partialLoad
}

// NewCollector returns a collector that has heard nothing.
func NewCollector() *Collector {
	return &Collector{seqs: make(map[string]int64), loads: make(map[string]map[string]partialLoad)}
}

// Take returns the measurements of a report that was not taken before. The VM
// of each is left to vmOf, which returns "" for an endpoint that shares its VM
// with no worker.
func (c *Collector) Collect(r Report, vmOf func(endpoint string) string, now time.Time) []Measurement {
	if r.Seq <= c.seqs[r.Entry] || r.Age < 0 || r.Length <= 0 {
		return nil
	}
	c.seqs[r.Entry] = r.Seq
	end := now.Add(-r.Age.Std())
	var ms []Measurement
	for _, s := range r.Summaries {
		vm := vmOf(s.Endpoint)
		if vm == "" {
			continue
		}
		ms = append(ms, Measurement{Service: s.Service, VM: vm, From: end.Add(-r.Length.Std()), To: end,
			Requests: s.Requests, P99: s.P99, Load: c.load(s, r.Entry, end)})
	}
	return ms
}

// load adds up what all entries put on an endpoint.
func (c *Collector) load(s Summary, entry string, at time.Time) float64 {
	parts := c.loads[s.Endpoint]
	if parts == nil {
		parts = make(map[string]partialLoad)
		c.loads[s.Endpoint] = parts
	}
	parts[entry] = partialLoad{s.Load, at}
	sum := 0.0
	for e, p := range parts {
		if at.Sub(p.at) > loadLife {
			delete(parts, e)
			continue
		}
		sum += p.load
	}
	return min(1, sum)
}

// Advice is the weight of one endpoint in the choice among those of a service.
type EndpointWeight struct {
	Endpoint string  `json:"endpoint"`
	Weight   float64 `json:"weight"`
}

// Gossip is what entries tell one another about interference. A report goes
// along for a short time after its interval; advice is the whole list of the
// sender's cells.
type Gossip struct {
	Report  *Report          `json:"latency,omitempty"`
	Weights []EndpointWeight `json:"advice,omitempty"`
}

// Advised is an immutable set of advice, for the choice among endpoints.
type EndpointWeights struct{ weights map[string]float64 }

// NewAdvised returns the given advice as a set. The lowest weight of an
// endpoint counts; weights that are not over 0 and up to 1 are left out.
func NewEndpointWeights(lists ...[]EndpointWeight) *EndpointWeights {
	a := &EndpointWeights{weights: make(map[string]float64)}
	for _, l := range lists {
		for _, v := range l {
			old, ok := a.weights[v.Endpoint]
			if v.Weight > 0 && v.Weight <= 1 && (!ok || v.Weight < old) {
				a.weights[v.Endpoint] = v.Weight
			}
		}
	}
	return a
}

// Weight returns the weight of an endpoint, over 0 and up to 1; without advice
// it is 1.
func (a *EndpointWeights) Weight(endpoint string) float64 {
	if a == nil {
		return 1
	}
	if w, ok := a.weights[endpoint]; ok {
		return w
	}
	return 1
}

// Equal reports whether a and b say the same.
func (a *EndpointWeights) Equal(b *EndpointWeights) bool {
	if a == nil || b == nil {
		return a == b
	}
	if len(a.weights) != len(b.weights) {
		return false
	}
	for id, w := range a.weights {
		if b.weights[id] != w {
			return false
		}
	}
	return true
}
