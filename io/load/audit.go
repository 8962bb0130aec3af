package load

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/caller"
	"rosemarygap/io/httpjson"
)

// Audit compares what callers were told with what the endpoints ran.
type Audit struct {
	// FalseNotRun counts requests told not-run that an endpoint ran.
	FalseNotRun int `json:"false-not-run"`
	// Doubles counts non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"doubles"`
}

// Broken reports whether a promise was broken.
func (a Audit) HasViolations() bool { return a.FalseNotRun > 0 || a.DuplicateRuns > 0 }

// Compare reads the journals of the endpoints' stand-ins.
func AuditOutcomes(ctx context.Context, endpoints []netip.AddrPort, os []Observation) (Audit, error) {
	ran := make(map[string]int)
	c := httpjson.NewClient(10 * time.Second)
	defer c.Close()
	for _, e := range endpoints {
		var journal map[string]int
		if err := c.Call(ctx, http.MethodGet, e, "/control/ran", nil, &journal); err != nil {
			return Audit{}, err
		}
		for id, n := range journal {
			ran[id] += n
		}
	}
	return compare(ran, os), nil
}

func compare(ran map[string]int, os []Observation) Audit {
	var a Audit
	for _, o := range os {
		if o.Outcome == caller.NotRun && ran[o.ID] > 0 {
			a.FalseNotRun++
		}
		if !o.Idempotent && ran[o.ID] > 1 {
			a.DuplicateRuns++
		}
	}
	return a
}
