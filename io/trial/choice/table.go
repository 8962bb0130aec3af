package choice

import (
	"fmt"
	"io"

	"rosemarygap/core/endpoint"
)

// Fault is what happens to the fleet during a run.
type Fault string

// Faults of a run.
const (
	NoFault          Fault = "none"
	SlowEndpoint     Fault = "slow"
	FailingEndpoint  Fault = "fails"
	Interference     Fault = "interference"
	ZoneOutage       Fault = "zone"
	MassCancellation Fault = "cancels"
	RetryStorm       Fault = "retry-storm"
)

// Faults are all faults, in the order of the table.
var Faults = []Fault{NoFault, SlowEndpoint, FailingEndpoint, Interference, ZoneOutage, MassCancellation, RetryStorm}

// Loads are the shares of the capacity that the table compares.
var Loads = []float64{0.5, 0.8, 0.95, 1.5}

// NewPolicy builds the policy of an entry in a zone from a source of random
// numbers under n.
type PolicyFactory func(zone string, intN func(n int) int) endpoint.Policy

// Random picks any endpoint with a free slot.
func Random(_ string, intN func(int) int) endpoint.Policy { return endpoint.Random{IntN: intN} }

// RoundRobin picks in turn.
func RoundRobin(string, func(int) int) endpoint.Policy { return &endpoint.RoundRobin{} }

// LeastInFlight picks the endpoint with the fewest requests of its entry.
func LeastInFlight(_ string, intN func(int) int) endpoint.Policy {
	return endpoint.LeastInFlight{IntN: intN}
}

// Balanced is the policy that entries use.
func LatencyAware(zone string, intN func(int) int) endpoint.Policy {
	return endpoint.NewLatencyAware(endpoint.WithZone(zone, detour), endpoint.WithIntN(intN))
}

// Measured is the outcome of a run; times are in milliseconds, of the urgent
// class, and goodput is a share of the fleet's capacity.
type Result struct{ P99, P999, Goodput float64 }

// Run drives one policy through one fault at a share of the capacity.
func Run(p PolicyFactory, f Fault, load float64) Result {
	s := newTrial(p, f, load).run()
	return Result{s.p(99), s.p(99.9), s.goodput()}
}

// Table writes the table of docs/MEASUREMENTS.md.
func WriteTable(w io.Writer) {
	fmt.Fprintln(w, "| fault | load | random | round robin | least in flight | balanced |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, f := range Faults {
		for _, load := range Loads {
			fmt.Fprintf(w, "| %s | %.0f%% |", f, 100*load)
			for _, p := range []PolicyFactory{Random, RoundRobin, LeastInFlight, LatencyAware} {
				m := Run(p, f, load)
				fmt.Fprintf(w, " %.0f / %.0f / %.2f |", m.P99, m.P999, m.Goodput)
			}
			fmt.Fprintln(w)
		}
	}
}
