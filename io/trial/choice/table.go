package choice

import (
	"fmt"
	"io"

	"rosemarygap/core/endpoint"
)

// Fault is the fault that is injected into the fleet during a run.
type Fault string

// The faults that a run can inject.
const (
	NoFault          Fault = "none"
	SlowEndpoint     Fault = "slow"
	FailingEndpoint  Fault = "fails"
	Interference     Fault = "interference"
	ZoneOutage       Fault = "zone"
	MassCancellation Fault = "cancels"
	RetryStorm       Fault = "retry-storm"
)

// Faults lists all faults in the order of the table.
var Faults = []Fault{NoFault, SlowEndpoint, FailingEndpoint, Interference, ZoneOutage, MassCancellation, RetryStorm}

// Loads lists the loads that the table compares, as fractions of the fleet's
// capacity.
var Loads = []float64{0.5, 0.8, 0.95, 1.5}

// PolicyFactory creates the policy of an entry in a zone. intN returns a random
// number in the interval [0, n).
type PolicyFactory func(zone string, intN func(n int) int) endpoint.Policy

// Random creates a policy that picks a random endpoint with a free slot.
func Random(_ string, intN func(int) int) endpoint.Policy { return endpoint.Random{IntN: intN} }

// RoundRobin creates a policy that picks the endpoints in turn.
func RoundRobin(string, func(int) int) endpoint.Policy { return &endpoint.RoundRobin{} }

// LeastInFlight creates a policy that picks the endpoint with the fewest requests
// in flight from the same entry.
func LeastInFlight(_ string, intN func(int) int) endpoint.Policy {
	return endpoint.LeastInFlight{IntN: intN}
}

// LatencyAware creates the policy that entries use.
func LatencyAware(zone string, intN func(int) int) endpoint.Policy {
	return endpoint.NewLatencyAware(endpoint.WithZone(zone, crossZoneDelay), endpoint.WithIntN(intN))
}

// Result contains the measurements of a run. P99 and P999 are latencies of the
// urgent class in milliseconds. Goodput is a fraction of the fleet's capacity.
type Result struct{ P99, P999, Goodput float64 }

// Run simulates one policy under one fault. The load is a fraction of the fleet's
// capacity.
func Run(p PolicyFactory, f Fault, load float64) Result {
	s := newSimulation(p, f, load).run()
	return Result{s.latencyMs(99), s.latencyMs(99.9), s.goodput()}
}

// WriteTable writes the comparison table of docs/MEASUREMENTS.md. A cell contains P99,
// P999 and Goodput. The column "balanced" is the policy LatencyAware.
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
