package interference

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"rosemarygap/core/wire"
)

// Latencies are counted in exponential buckets: bucket b begins at bucketBase times
// bucketGrowth to the power of b. The first bucket also contains all lower latencies,
// and the last one all higher latencies.
const (
	bucketCount  = 120
	bucketBase   = 100 * time.Microsecond
	bucketGrowth = 1.125
	tailQuantile = 0.99
)

// Summary is the latency and load that one entry measured at one endpoint in an
// interval. An entry is a process that accepts the requests of callers and dispatches
// them to endpoints.
type Summary struct {
	Service  string        `json:"service"`
	Endpoint string        `json:"endpoint"`
	Requests int           `json:"requests"`
	P99      wire.Duration `json:"p99"`
	// Load is the mean share of the endpoint's slots that the requests of this
	// entry used. It may exceed 1, because the whole latency of a request counts
	// in the interval in which the request was answered.
	Load float64 `json:"load"`
}

// Report contains the measurements of one entry in one interval.
type Report struct {
	Entry string `json:"entry"`
	// Seq increases with each interval of an entry process.
	Seq int64 `json:"seq"`
	// Age is the time since the end of the interval, on the sender's clock.
	Age       wire.Duration `json:"age"`
	Length    wire.Duration `json:"length"`
	Summaries []Summary     `json:"summaries"`
}

// endpointTally counts the requests to one endpoint in the current interval.
type endpointTally struct {
	service string
	slots   int
	// counts are the numbers of requests by latency bucket.
	counts [bucketCount]uint32
	total  int
	// busy is the sum of the latencies, during each of which a slot was in use.
	busy time.Duration
}

// Recorder records the latency of dispatched requests by endpoint. Its methods are
// safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	tallies map[string]*endpointTally
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{tallies: make(map[string]*endpointTally)} }

// Record records the latency of a request that an endpoint with the given number of
// slots answered.
func (r *Recorder) Record(service, endpoint string, slots int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[endpoint]
	if t == nil {
		t = &endpointTally{}
		r.tallies[endpoint] = t
	}
	t.service, t.slots = service, slots
	t.counts[bucketIndex(d)]++
	t.total++
	t.busy += d
}

// Drain returns summaries of the interval that ends now, whose length is given, and
// begins a new interval.
func (r *Recorder) Drain(length time.Duration) []Summary {
	r.mu.Lock()
	tallies := r.tallies
	r.tallies = make(map[string]*endpointTally)
	r.mu.Unlock()
	out := make([]Summary, 0, len(tallies))
	for id, t := range tallies {
		out = append(out, Summary{Service: t.service, Endpoint: id, Requests: t.total,
			P99: wire.Duration(t.p99()), Load: float64(t.busy) / float64(length) / float64(max(1, t.slots))})
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func bucketIndex(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	b := int(math.Log(float64(d)/float64(bucketBase)) / math.Log(bucketGrowth))
	return min(b, bucketCount-1)
}

// p99 returns the geometric mean of the bounds of the bucket that contains the 99th
// percentile.
func (t *endpointTally) p99() time.Duration {
	remaining := int(math.Ceil(tailQuantile * float64(t.total)))
	for b, n := range t.counts {
		if remaining -= int(n); remaining <= 0 {
			return time.Duration(float64(bucketBase) * math.Pow(bucketGrowth, float64(b)+0.5))
		}
	}
	return time.Duration(float64(bucketBase) * math.Pow(bucketGrowth, bucketCount))
}

// loadTTL is how long the load that an entry reported for an endpoint is valid.
const loadTTL = 30 * time.Second

type entryLoad struct {
	load float64
	at   time.Time
}

// Collector converts the reports of all entries to measurements. Each report is used
// at most once, even if messages are duplicated or reordered.
type Collector struct {
	lastSeqs map[string]int64
	loads    map[string]map[string]entryLoad
}

// NewCollector returns a collector that has received no reports.
func NewCollector() *Collector {
	return &Collector{lastSeqs: make(map[string]int64), loads: make(map[string]map[string]entryLoad)}
}

// Collect returns the measurements in a report. It returns none for a report that is
// not newer than the last one of the same entry, or whose age or length is invalid. The
// function vmOf returns the VM of an endpoint, or "" if the endpoint shares its VM with
// no worker.
func (c *Collector) Collect(r Report, vmOf func(endpoint string) string, now time.Time) []Measurement {
	if r.Seq <= c.lastSeqs[r.Entry] || r.Age < 0 || r.Length <= 0 {
		return nil
	}
	c.lastSeqs[r.Entry] = r.Seq
	end := now.Add(-r.Age.Std())
	var ms []Measurement
	for _, s := range r.Summaries {
		vm := vmOf(s.Endpoint)
		if vm == "" {
			continue
		}
		ms = append(ms, Measurement{Service: s.Service, VM: vm, From: end.Add(-r.Length.Std()), To: end,
			Requests: s.Requests, P99: s.P99, Load: c.totalLoad(s, r.Entry, end)})
	}
	return ms
}

// totalLoad records the load of one entry on an endpoint, and returns the load of all
// entries on it.
func (c *Collector) totalLoad(s Summary, entry string, at time.Time) float64 {
	byEntry := c.loads[s.Endpoint]
	if byEntry == nil {
		byEntry = make(map[string]entryLoad)
		c.loads[s.Endpoint] = byEntry
	}
	byEntry[entry] = entryLoad{s.Load, at}
	sum := 0.0
	for e, l := range byEntry {
		if at.Sub(l.at) > loadTTL {
			delete(byEntry, e)
			continue
		}
		sum += l.load
	}
	return min(1, sum)
}

// EndpointWeight is the weight of one endpoint in the selection among the endpoints of
// a service.
type EndpointWeight struct {
	Endpoint string  `json:"endpoint"`
	Weight   float64 `json:"weight"`
}

// Gossip is the information about interference that entries exchange. Report is
// included for a short time after its interval. Weights is the complete list for the
// cells of the sender.
type Gossip struct {
	Report  *Report          `json:"latency,omitempty"`
	Weights []EndpointWeight `json:"advice,omitempty"`
}

// EndpointWeights is an immutable set of endpoint weights.
type EndpointWeights struct{ weights map[string]float64 }

// NewEndpointWeights returns a set of the weights in the given lists. If an endpoint
// has several weights, the lowest one is used. Weights that are not greater than 0 and
// at most 1 are ignored.
func NewEndpointWeights(lists ...[]EndpointWeight) *EndpointWeights {
	set := &EndpointWeights{weights: make(map[string]float64)}
	for _, l := range lists {
		for _, w := range l {
			old, ok := set.weights[w.Endpoint]
			if w.Weight > 0 && w.Weight <= 1 && (!ok || w.Weight < old) {
				set.weights[w.Endpoint] = w.Weight
			}
		}
	}
	return set
}

// Weight returns the weight of an endpoint, which is greater than 0 and at most 1. It
// is 1 for an endpoint that is not in the set.
func (s *EndpointWeights) Weight(endpoint string) float64 {
	if s == nil {
		return 1
	}
	if w, ok := s.weights[endpoint]; ok {
		return w
	}
	return 1
}

// Equal reports whether s and other contain the same weights.
func (s *EndpointWeights) Equal(other *EndpointWeights) bool {
	if s == nil || other == nil {
		return s == other
	}
	if len(s.weights) != len(other.weights) {
		return false
	}
	for id, w := range s.weights {
		if other.weights[id] != w {
			return false
		}
	}
	return true
}
