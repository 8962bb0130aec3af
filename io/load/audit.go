package load

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/io/httpjson"
)

// Audit is the result of comparing the outcomes reported to callers with the
// executions recorded by the endpoints.
type Audit struct {
	// FalseNotRun counts requests that were reported as not-run although an
	// endpoint ran them.
	FalseNotRun int `json:"false-not-run"`
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"doubles"`
}

// HasViolations reports whether the audit found a false outcome or a duplicate
// run.
func (a Audit) HasViolations() bool { return a.FalseNotRun > 0 || a.DuplicateRuns > 0 }

// AuditOutcomes reads the number of executions of each request from the endpoint
// stand-ins and compares it with the observations.
func AuditOutcomes(ctx context.Context, endpoints []netip.AddrPort, observations []Observation) (Audit, error) {
	runs := make(map[string]int)
	client := httpjson.NewClient(10 * time.Second)
	defer client.Close()
	for _, e := range endpoints {
		var counts map[string]int
		if err := client.Call(ctx, http.MethodGet, e, "/control/ran", nil, &counts); err != nil {
			return Audit{}, err
		}
		for id, n := range counts {
			runs[id] += n
		}
	}
	return auditRuns(runs, observations), nil
}

func auditRuns(runs map[string]int, observations []Observation) Audit {
	var audit Audit
	for _, o := range observations {
		if o.Outcome == caller.NotRun && runs[o.ID] > 0 {
			audit.FalseNotRun++
		}
		if !o.Idempotent && runs[o.ID] > 1 {
			audit.DuplicateRuns++
		}
	}
	return audit
}
